import type { RandomSource } from '@camphorbarrow/core';

/** Returns the named process, or a random one of several. */
export function chooseTarget(
  target: string | { readonly oneOf: readonly string[] },
  random: RandomSource,
): string {
  if (typeof target === 'string') {
    return target;
  }
  return target.oneOf[Math.floor(random.next() * target.oneOf.length)] as string;
}

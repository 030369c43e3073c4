import type { RandomSource } from '@camphorbarrow/core';

/** The named process, or one of several that the seed chooses. */
export function chooseTarget(
  target: string | { readonly oneOf: readonly string[] },
  random: RandomSource,
): string {
  if (typeof target === 'string') {
    return target;
  }
  return target.oneOf[Math.floor(random.next() * target.oneOf.length)] as string;
}

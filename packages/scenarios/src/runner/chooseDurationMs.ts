import type { RandomSource } from '@camphorbarrow/core';

/** A duration in milliseconds, or one that the seed chooses from [least, most]. */
export function chooseDurationMs(
  duration: number | readonly [number, number],
  random: RandomSource,
): number {
  if (typeof duration === 'number') {
    return duration;
  }
  const [least, most] = duration;
  return Math.round(least + random.next() * (most - least));
}

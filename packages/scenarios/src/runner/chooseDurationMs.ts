import type { RandomSource } from '@camphorbarrow/core';

/** Returns a fixed duration as it is, or a random one from the range [least, most]. */
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

import type { Clock } from '@camphorbarrow/core';

/** Largest value of a recent period. */
export interface RecentMaximum {
  record(value: number): void;
  /** Returns 0 if no value was recorded recently. */
  value(): number;
}

/** Creates a maximum that forgets the smaller values of the period when the largest one expires. */
export function createRecentMaximum(clock: Clock, periodMs: number): RecentMaximum {
  let maximum = 0;
  let recordedAtMs = -Infinity;

  const value = (): number => (clock.monotonicMs() - recordedAtMs <= periodMs ? maximum : 0);

  return {
    record(recorded) {
      if (recorded >= value()) {
        maximum = recorded;
        recordedAtMs = clock.monotonicMs();
      }
    },
    value,
  };
}

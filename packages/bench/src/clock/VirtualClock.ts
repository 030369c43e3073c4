import type { Clock } from '@camphorbarrow/core';

/** Clock of an experiment: time advances only from one scheduled action to the next. */
export interface VirtualClock extends Clock {
  /** Runs the action at a monotonic time; actions of the same time run in the order scheduled. */
  schedule(atMs: number, action: () => void): void;
  /** Runs scheduled actions up to and including a time. */
  runUntil(untilMs: number): Promise<void>;
}

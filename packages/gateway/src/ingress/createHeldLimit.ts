import type { Clock } from '@camphorbarrow/core';

/** A time limit of the configuration, for something that may have begun under the previous one. */
export interface HeldLimit {
  /**
   * Applies the limit of the configuration in force; to be called again from time to time. A higher
   * limit holds at once, a lower one when the previous one has passed.
   *
   * @returns the limit that holds now
   */
  apply(limitMs: number): number;
}

/** Creates a limit that is unknown before its first application. */
export function createHeldLimit(clock: Clock): HeldLimit {
  let currentMs = -Infinity;
  /** Time until which the current limit holds although a lower one was applied. */
  let heldUntilMs: number | undefined;

  return {
    apply(limitMs) {
      if (limitMs < currentMs) {
        heldUntilMs ??= clock.monotonicMs() + currentMs;
      } else {
        heldUntilMs = undefined;
      }
      if (heldUntilMs === undefined || clock.monotonicMs() >= heldUntilMs) {
        currentMs = limitMs;
        heldUntilMs = undefined;
      }
      return currentMs;
    },
  };
}

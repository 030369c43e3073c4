import { performance } from 'node:perf_hooks';
import { setTimeout as delay } from 'node:timers/promises';
import type { Clock } from '../ports/Clock.js';

/** Creates the clock of the operating system. */
export function createSystemClock(): Clock {
  return {
    nowMs: () => Date.now(),
    monotonicMs: () => performance.now(),
    sleep: (durationMs, signal) =>
      delay(durationMs, undefined, signal === undefined ? {} : { signal }),
  };
}

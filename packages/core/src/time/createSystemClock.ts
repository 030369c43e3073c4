import { performance } from 'node:perf_hooks';
import { setTimeout as delay } from 'node:timers/promises';
import type { Clock } from '../ports/Clock.js';
import { runAfterPoll } from './startInputTimeout.js';

/** Creates the clock of the operating system. */
export function createSystemClock(): Clock {
  return {
    nowMs: () => Date.now(),
    monotonicMs: () => performance.now(),
    async sleep(durationMs, signal) {
      await delay(durationMs, undefined, signal === undefined ? {} : { signal });
      // After a pause of the process, its timers run before its sockets are read.
      await new Promise<void>((resolve) => {
        runAfterPoll(resolve);
      });
      if (signal?.aborted === true) {
        throw new DOMException('The operation was aborted.', 'AbortError');
      }
    },
  };
}

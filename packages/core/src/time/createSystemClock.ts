import { performance } from 'node:perf_hooks';
import { setImmediate as nextTurn, setTimeout as delay } from 'node:timers/promises';
import type { Clock } from '../ports/Clock.js';

/** Creates the clock of the operating system. */
export function createSystemClock(): Clock {
  return {
    nowMs: () => Date.now(),
    monotonicMs: () => performance.now(),
    async sleep(durationMs, signal) {
      const options = signal === undefined ? {} : { signal };
      await delay(durationMs, undefined, options);
      // After a pause of the process, its timers run before its sockets are read. The second turn
      // is for the same reasons as in `runAfterPoll`.
      await nextTurn(undefined, options);
      await nextTurn(undefined, options);
    },
  };
}

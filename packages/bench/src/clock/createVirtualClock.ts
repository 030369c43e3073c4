import { setImmediate as nextTurn } from 'node:timers/promises';
import type { VirtualClock } from './VirtualClock.js';
import { createEventQueue } from './createEventQueue.js';

/** Wall-clock time at virtual time zero. */
const EPOCH_MS = 1_700_000_000_000;

/** Creates a clock whose time advances only in `runUntil`. */
export function createVirtualClock(): VirtualClock {
  const events = createEventQueue();
  let timeMs = 0;

  return {
    nowMs: () => EPOCH_MS + timeMs,
    monotonicMs: () => timeMs,
    sleep(durationMs, signal) {
      return new Promise((resolve, reject) => {
        if (signal?.aborted === true) {
          reject(signal.reason);
          return;
        }
        const onAbort = (): void => reject(signal?.reason);
        signal?.addEventListener('abort', onAbort, { once: true });
        events.push(timeMs + Math.max(0, durationMs), () => {
          signal?.removeEventListener('abort', onAbort);
          resolve();
        });
      });
    },
    schedule(atMs, action) {
      events.push(Math.max(timeMs, atMs), action);
    },
    async runUntil(untilMs) {
      // Promises settled by an action run their continuations before the next action.
      await nextTurn();
      for (;;) {
        const nextAtMs = events.nextAtMs();
        if (nextAtMs === undefined || nextAtMs > untilMs) {
          break;
        }
        timeMs = nextAtMs;
        events.pop()?.action();
        await nextTurn();
      }
      timeMs = Math.max(timeMs, untilMs);
    },
  };
}

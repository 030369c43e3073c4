import type { Clock } from '../ports/Clock.js';

/** Clock for tests and experiments that advances only by calls of `advance`. */
export interface ManualClock extends Clock {
  /** Advances the time and resolves the sleeps that are due, in order of their due times. */
  advance(durationMs: number): void;
}

interface PendingSleep {
  readonly dueAtMs: number;
  readonly resolve: () => void;
}

/** Creates a manual clock that starts at zero. */
export function createManualClock(): ManualClock {
  let currentMs = 0;
  let pendingSleeps: PendingSleep[] = [];

  function resolveDue(untilMs: number): void {
    const due = pendingSleeps.filter(({ dueAtMs }) => dueAtMs <= untilMs);
    pendingSleeps = pendingSleeps.filter(({ dueAtMs }) => dueAtMs > untilMs);
    due
      .sort((a, b) => a.dueAtMs - b.dueAtMs)
      .forEach(({ dueAtMs, resolve }) => {
        currentMs = Math.max(currentMs, dueAtMs);
        resolve();
      });
  }

  return {
    nowMs: () => currentMs,
    monotonicMs: () => currentMs,
    sleep: (durationMs, signal) =>
      new Promise((resolve, reject) => {
        if (signal?.aborted === true) {
          reject(signal.reason as Error);
          return;
        }
        const sleep: PendingSleep = { dueAtMs: currentMs + durationMs, resolve };
        pendingSleeps.push(sleep);
        signal?.addEventListener('abort', () => {
          pendingSleeps = pendingSleeps.filter((other) => other !== sleep);
          reject(signal.reason as Error);
        });
      }),
    advance(durationMs) {
      const untilMs = currentMs + durationMs;
      resolveDue(untilMs);
      currentMs = untilMs;
    },
  };
}

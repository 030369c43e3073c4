import type { Clock } from '../ports/Clock.js';

/** Clock for tests and experiments that moves only when told to. */
export interface ManualClock extends Clock {
  /** Moves time forward and wakes sleepers whose time has come, in order. */
  advance(durationMs: number): void;
}

interface Sleeper {
  readonly dueAtMs: number;
  readonly wake: () => void;
}

/** Creates a clock that stands at zero. */
export function createManualClock(): ManualClock {
  let currentMs = 0;
  let sleepers: Sleeper[] = [];

  function wakeDue(untilMs: number): void {
    const due = sleepers.filter(({ dueAtMs }) => dueAtMs <= untilMs);
    sleepers = sleepers.filter(({ dueAtMs }) => dueAtMs > untilMs);
    due
      .sort((a, b) => a.dueAtMs - b.dueAtMs)
      .forEach(({ dueAtMs, wake }) => {
        currentMs = Math.max(currentMs, dueAtMs);
        wake();
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
        const sleeper: Sleeper = { dueAtMs: currentMs + durationMs, wake: resolve };
        sleepers.push(sleeper);
        signal?.addEventListener('abort', () => {
          sleepers = sleepers.filter((other) => other !== sleeper);
          reject(signal.reason as Error);
        });
      }),
    advance(durationMs) {
      const untilMs = currentMs + durationMs;
      wakeDue(untilMs);
      currentMs = untilMs;
    },
  };
}

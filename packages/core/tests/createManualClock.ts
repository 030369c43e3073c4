import type { Clock } from '../src/ports/Clock.js';

export interface ManualClock extends Clock {
  /** Advances the time, ends the sleeps that are due and lets their continuations run. */
  advance(durationMs: number): Promise<void>;
}

const nextTurn = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

/** Clock whose time changes only when it is advanced. */
export function createManualClock(): ManualClock {
  let timeMs = 0;
  let sleeps: { readonly atMs: number; readonly resolve: () => void }[] = [];

  return {
    nowMs: () => timeMs,
    monotonicMs: () => timeMs,
    sleep(durationMs, signal) {
      return new Promise((resolve, reject) => {
        sleeps.push({ atMs: timeMs + durationMs, resolve });
        signal?.addEventListener('abort', () => reject(signal.reason), { once: true });
      });
    },
    async advance(durationMs) {
      const untilMs = timeMs + durationMs;
      await nextTurn();
      for (;;) {
        const next = Math.min(...sleeps.map(({ atMs }) => atMs));
        if (next > untilMs) {
          break;
        }
        timeMs = Math.max(timeMs, next);
        const due = sleeps.filter(({ atMs }) => atMs <= next);
        sleeps = sleeps.filter(({ atMs }) => atMs > next);
        due.forEach(({ resolve }) => resolve());
        await nextTurn();
      }
      timeMs = untilMs;
    },
  };
}

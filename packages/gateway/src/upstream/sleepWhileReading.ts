import type { Clock } from '@camphorbarrow/core';

/** A sleep that takes this much longer shows that the process stood still. */
const MAX_DELAY_MS = 20;
const MAX_SLEEPS = 4;

/**
 * Sleeps for a time in which input from connections was read, too: after a pause of the process, it sleeps
 * again, a few times at the most. Resolves early once the signal is aborted.
 */
export async function sleepWhileReading(
  clock: Clock,
  durationMs: number,
  signal: AbortSignal,
): Promise<void> {
  for (let sleeps = 0; sleeps < MAX_SLEEPS && !signal.aborted; sleeps += 1) {
    const startedAtMs = clock.monotonicMs();
    await clock.sleep(durationMs, signal).catch(() => undefined);
    if (clock.monotonicMs() - startedAtMs <= durationMs + MAX_DELAY_MS) {
      return;
    }
  }
}

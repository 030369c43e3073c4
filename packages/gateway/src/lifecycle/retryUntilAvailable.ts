import type { Clock } from '@camphorbarrow/core';

/** Least time between reports of failures with different messages. */
const MIN_REPORT_INTERVAL_MS = 1_000;
/** Time between reports of a failure that stays the same. */
const REPORT_INTERVAL_MS = 10_000;

export interface RetryUntilAvailableOptions {
  readonly clock: Clock;
  /** Ends the retries. */
  readonly signal: AbortSignal;
  /** Pause after a failed attempt. */
  readonly pauseMs: number;
  /** Called at the first failure, then at a bounded rate. */
  readonly onFailure: (error: Error, waitedMs: number) => void;
}

/**
 * Repeats the attempt until it succeeds, for what a host needs and may not have yet. Returns
 * undefined if the signal aborts first.
 */
export async function retryUntilAvailable<T>(
  attempt: () => T | Promise<T>,
  { clock, signal, pauseMs, onFailure }: RetryUntilAvailableOptions,
): Promise<T | undefined> {
  const startedAtMs = clock.monotonicMs();
  let reportedAtMs = -Infinity;
  let reportedMessage: string | undefined;

  function report(error: Error): void {
    const nowMs = clock.monotonicMs();
    const intervalMs =
      error.message === reportedMessage ? REPORT_INTERVAL_MS : MIN_REPORT_INTERVAL_MS;
    if (nowMs - reportedAtMs >= intervalMs) {
      reportedAtMs = nowMs;
      reportedMessage = error.message;
      onFailure(error, Math.round(nowMs - startedAtMs));
    }
  }

  for (;;) {
    try {
      return await attempt();
    } catch (error) {
      if (!signal.aborted) {
        report(error as Error);
      }
    }
    try {
      await clock.sleep(pauseMs, signal);
    } catch {
      return undefined;
    }
  }
}

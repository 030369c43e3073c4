import type { Clock, LogSink } from '@camphorbarrow/core';

/** Pause before a task that failed is started again. */
const RESTART_PAUSE_MS = 1_000;

export interface KeepRunningOptions {
  readonly clock: Clock;
  readonly log: LogSink;
  /** Name of the task in logs. */
  readonly task: string;
  readonly signal: AbortSignal;
}

/**
 * Runs a task that lasts as long as the host. If it fails, it is logged and started again: nobody
 * waits for its promise before the host stops, and a rejection without a handler ends the process.
 *
 * @returns resolves when the task has ended; never rejects
 */
export async function keepRunning(
  { clock, log, task, signal }: KeepRunningOptions,
  run: () => Promise<void>,
): Promise<void> {
  for (;;) {
    try {
      await run();
      return;
    } catch (error) {
      if (signal.aborted) {
        return;
      }
      log.error('task-failed', { task }, error);
      await clock.sleep(RESTART_PAUSE_MS, signal).catch(() => undefined);
    }
  }
}

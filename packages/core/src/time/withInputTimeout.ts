import { startInputTimeout } from './startInputTimeout.js';

/**
 * Runs a task that waits for input, with a signal that aborts at the end of an input timeout. The
 * signal aborts only after the sockets have been read, unlike that of `AbortSignal.timeout`.
 */
export async function withInputTimeout<Result>(
  durationMs: number,
  run: (signal: AbortSignal) => Promise<Result>,
): Promise<Result> {
  const controller = new AbortController();
  const timeout = startInputTimeout(durationMs, () => controller.abort());
  try {
    return await run(controller.signal);
  } finally {
    timeout.close();
  }
}

import { ProgressTimeoutError, startInputTimeout } from '@camphorbarrow/core';

/**
 * Runs a call with a time limit. Unlike that of `AbortSignal.timeout`, this one ends only after the
 * sockets were read, so that a response which arrived in time is not lost to a pause of the process.
 *
 * @param run rejects with the reason of its signal, a `ProgressTimeoutError`, at the time limit
 */
export async function withInputTimeout<Result>(
  timeoutMs: number,
  run: (signal: AbortSignal) => Promise<Result>,
): Promise<Result> {
  const controller = new AbortController();
  const timeout = startInputTimeout(timeoutMs, () =>
    controller.abort(new ProgressTimeoutError('No response arrived in time.')),
  );
  try {
    return await run(controller.signal);
  } finally {
    timeout.close();
  }
}

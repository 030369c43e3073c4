import { ProgressTimeoutError } from '../errors/ProgressTimeoutError.js';
import { startInputTimeout } from './startInputTimeout.js';

/**
 * Runs a call with a time limit. Unlike that of `AbortSignal.timeout`, this one ends only after the
 * sockets were read, so that a response which arrived in time is not lost to a pause of the process.
 *
 * @param run gets a signal that aborts at the time limit, with a `ProgressTimeoutError`
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

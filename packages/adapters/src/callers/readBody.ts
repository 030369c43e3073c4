import type { Readable } from 'node:stream';
import {
  BodyTimeoutError,
  BodyTooLargeError,
  InvalidBodyError,
  createBodyMemory,
  startInputTimeout,
} from '@camphorbarrow/core';
import type { Clock, InputTimeout } from '@camphorbarrow/core';

/** Delay of a timer from which the process counts as having been paused. */
const MIN_PAUSE_MS = 50;

export interface BodyLimits {
  readonly maxBodyBytes: number;
  /** Time within which the complete body has to arrive. */
  readonly bodyTimeoutMs: number;
}

/**
 * Reads a request body of at most `maxBodyBytes` as text. After an error the rest of the body is
 * read and discarded, so that a caller that is still sending can receive the error response. When
 * the process was paused at the end of the time limit, the delay is added to the limit: its sender
 * could not go on.
 *
 * @throws BodyTooLargeError, BodyTimeoutError, or InvalidBodyError when the body is incomplete
 */
export async function readBody(
  payload: Readable,
  contentLength: string | undefined,
  limits: BodyLimits,
  clock: Clock,
): Promise<string> {
  const { maxBodyBytes, bodyTimeoutMs } = limits;
  const tooLarge = (): Error =>
    new BodyTooLargeError(`The request body is larger than ${maxBodyBytes} bytes.`);
  if (Number(contentLength) > maxBodyBytes) {
    payload.resume();
    throw tooLarge();
  }
  return new Promise((resolve, reject) => {
    const body = createBodyMemory(maxBodyBytes).open({ maxBytes: maxBodyBytes });
    let timeout: InputTimeout | undefined;
    function startTimeout(durationMs: number): InputTimeout {
      const endMs = clock.monotonicMs() + durationMs;
      return startInputTimeout(durationMs, () => {
        const delayMs = clock.monotonicMs() - endMs;
        if (delayMs >= MIN_PAUSE_MS) {
          timeout = startTimeout(delayMs);
        } else {
          // eslint-disable-next-line @typescript-eslint/no-use-before-define -- mutual reference
          finish(new BodyTimeoutError(`The request body took longer than ${bodyTimeoutMs} ms.`));
        }
      });
    }
    timeout = startTimeout(bodyTimeoutMs);
    function finish(error?: Error): void {
      timeout?.close();
      if (error === undefined) {
        resolve(body.complete().toString('utf8'));
      } else {
        reject(error);
      }
      body.release();
      payload.removeAllListeners('data');
      payload.resume();
    }
    payload.on('data', (chunk: Buffer) => {
      if (body.append(chunk) !== 'kept') {
        finish(tooLarge());
      }
    });
    payload.once('end', () => finish());
    payload.once('error', () => finish(new InvalidBodyError('The request body is incomplete.')));
    payload.once('aborted', () => finish(new InvalidBodyError('The request body is incomplete.')));
  });
}

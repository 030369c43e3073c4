import type { Readable } from 'node:stream';
import { BodyTimeoutError, BodyTooLargeError, InvalidBodyError } from '@camphorbarrow/core';

export interface BodyLimits {
  readonly maxBodyBytes: number;
  /** Time in which the whole body has to arrive. */
  readonly bodyTimeoutMs: number;
}

/**
 * Reads a request body as text and keeps at most `maxBodyBytes` of it. What follows a refusal is
 * discarded, so that the caller can read the refusal while it still sends.
 *
 * @throws BodyTooLargeError, BodyTimeoutError or InvalidBodyError when the body breaks off
 */
export async function readBody(
  payload: Readable,
  contentLength: string | undefined,
  limits: BodyLimits,
): Promise<string> {
  const { maxBodyBytes, bodyTimeoutMs } = limits;
  const tooLarge = (): Error =>
    new BodyTooLargeError(`The request body is larger than ${maxBodyBytes} bytes.`);
  if (Number(contentLength) > maxBodyBytes) {
    payload.resume();
    throw tooLarge();
  }
  return new Promise((resolve, reject) => {
    let chunks: Buffer[] = [];
    let sizeBytes = 0;
    const timer = setTimeout(
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- each ends the other
      () => end(new BodyTimeoutError(`The request body took longer than ${bodyTimeoutMs} ms.`)),
      bodyTimeoutMs,
    );
    function end(error?: Error): void {
      clearTimeout(timer);
      if (error === undefined) {
        resolve(Buffer.concat(chunks).toString('utf8'));
      } else {
        reject(error);
      }
      chunks = [];
      payload.removeAllListeners('data');
      payload.resume();
    }
    payload.on('data', (chunk: Buffer) => {
      sizeBytes += chunk.length;
      if (sizeBytes > maxBodyBytes) {
        end(tooLarge());
      } else {
        chunks.push(chunk);
      }
    });
    payload.once('end', () => end());
    payload.once('error', () => end(new InvalidBodyError('The request body broke off.')));
    payload.once('aborted', () => end(new InvalidBodyError('The request body broke off.')));
  });
}

import type { IncomingMessage } from 'node:http';
import { BodyTimeoutError, BodyTooLargeError, InvalidBodyError } from '@camphorbarrow/core';
import type { CallerLimits } from '../model/CallerLimits.js';

/**
 * Reads a request body completely.
 *
 * @throws BodyTooLargeError, BodyTimeoutError, or InvalidBodyError when the connection closes early
 */
export function readBody(
  request: IncomingMessage,
  limits: Pick<CallerLimits, 'maxBodyBytes' | 'idleTimeoutMs'>,
): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    const timer = setTimeout(
      () => reject(new BodyTimeoutError('The request body did not arrive in time.')),
      limits.idleTimeoutMs,
    );
    request.on('data', (chunk: Buffer) => {
      sizeBytes += chunk.length;
      if (sizeBytes > limits.maxBodyBytes) {
        clearTimeout(timer);
        reject(
          new BodyTooLargeError(`The request body exceeds ${limits.maxBodyBytes} bytes.`, {
            props: { details: { maxBytes: limits.maxBodyBytes } },
          }),
        );
        return;
      }
      chunks.push(chunk);
    });
    request.on('end', () => {
      clearTimeout(timer);
      resolve(Buffer.concat(chunks));
    });
    request.on('close', () => {
      clearTimeout(timer);
      reject(
        new InvalidBodyError('The connection was closed before the request body was complete.'),
      );
    });
    // The close event follows and rejects the promise.
    request.on('error', () => undefined);
  });
}

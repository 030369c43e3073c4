import type { IncomingMessage } from 'node:http';
import { BodyTimeoutError, BodyTooLargeError, InvalidBodyError } from '@camphorbarrow/core';
import { createDrainingError } from '../errors/createDrainingError.js';
import type { CallerLimits } from '../model/CallerLimits.js';

/**
 * Reads a request body completely.
 *
 * @throws BodyTooLargeError, BodyTimeoutError, InvalidBodyError when the connection closes early, or
 * DrainingError when the host closes before the body is complete
 */
export function readBody(
  request: IncomingMessage,
  limits: Pick<CallerLimits, 'maxBodyBytes' | 'idleTimeoutMs'>,
  closing: AbortSignal,
): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    const timer = setTimeout(
      () => reject(new BodyTimeoutError('The request body did not arrive in time.')),
      limits.idleTimeoutMs,
    );
    const onClosing = (): void => reject(createDrainingError());
    closing.addEventListener('abort', onClosing);
    const stopWaiting = (): void => {
      clearTimeout(timer);
      closing.removeEventListener('abort', onClosing);
    };
    request.on('data', (chunk: Buffer) => {
      sizeBytes += chunk.length;
      if (sizeBytes > limits.maxBodyBytes) {
        stopWaiting();
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
      stopWaiting();
      resolve(Buffer.concat(chunks));
    });
    request.on('close', () => {
      stopWaiting();
      // Every request closes, and creating an error takes longer than reading a short body.
      if (request.complete) {
        return;
      }
      reject(
        new InvalidBodyError('The connection was closed before the request body was complete.'),
      );
    });
    // The close event follows and rejects the promise.
    request.on('error', () => undefined);
  });
}

import type { IncomingMessage } from 'node:http';
import {
  BodyTimeoutError,
  BodyTooLargeError,
  InvalidBodyError,
  startInputTimeout,
} from '@camphorbarrow/core';
import type { Clock, InputTimeout } from '@camphorbarrow/core';
import { createDrainingError } from '../errors/createDrainingError.js';
import type { CallerLimits } from '../model/CallerLimits.js';

export interface ReadBodyOptions {
  readonly clock: Clock;
  readonly limits: Pick<CallerLimits, 'maxBodyBytes' | 'idleTimeoutMs'>;
  /** Monotonic time after which the request is not served. */
  readonly deadlineAtMs: number;
  /** Aborts when the host ends the requests that are still in flight. */
  readonly closing: AbortSignal;
}

/**
 * Reads a request body completely. Its sender may pause for the idle time.
 *
 * @throws BodyTooLargeError, BodyTimeoutError, InvalidBodyError when the connection closes early, or
 * DrainingError when the host closes before the body is complete
 */
export function readBody(request: IncomingMessage, options: ReadBodyOptions): Promise<Buffer> {
  const { clock, limits, deadlineAtMs, closing } = options;
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    let lastChunkAtMs = clock.monotonicMs();
    let timeout: InputTimeout;

    function restartTimeout(): void {
      const remainingMs =
        Math.min(deadlineAtMs, lastChunkAtMs + limits.idleTimeoutMs) - clock.monotonicMs();
      timeout = startInputTimeout(Math.max(0, remainingMs), () => {
        const nowMs = clock.monotonicMs();
        if (nowMs < deadlineAtMs && nowMs < lastChunkAtMs + limits.idleTimeoutMs) {
          restartTimeout();
        } else {
          reject(new BodyTimeoutError('The request body did not arrive in time.'));
        }
      });
    }

    restartTimeout();
    const onClosing = (): void => reject(createDrainingError());
    closing.addEventListener('abort', onClosing);
    const stopWaiting = (): void => {
      timeout.close();
      closing.removeEventListener('abort', onClosing);
    };
    request.on('data', (chunk: Buffer) => {
      sizeBytes += chunk.length;
      lastChunkAtMs = clock.monotonicMs();
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

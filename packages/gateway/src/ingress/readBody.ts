import type { IncomingMessage } from 'node:http';
import {
  BodyTimeoutError,
  BodyTooLargeError,
  InvalidBodyError,
  startInputTimeout,
} from '@camphorbarrow/core';
import type { BodyBuffers, Clock, InputTimeout } from '@camphorbarrow/core';
import { createDrainingError } from '../errors/createDrainingError.js';
import type { CallerLimits } from '../model/CallerLimits.js';
import { createBodyMemoryError } from './hostRejections.js';

export interface ReadBodyOptions {
  /** Holds the body until it is released there. */
  readonly bodies: BodyBuffers;
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
 * @throws BodyTooLargeError, BodyTimeoutError, InvalidBodyError when the connection closes early,
 * OverloadedError when there is no memory for it, or DrainingError when the host closes before the
 * body is complete
 */
export function readBody(request: IncomingMessage, options: ReadBodyOptions): Promise<Buffer> {
  const { clock, limits, deadlineAtMs, closing } = options;
  return new Promise((resolve, reject) => {
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
    let isRejected = false;
    const rejectBody = (error: Error): void => {
      isRejected = true;
      stopWaiting();
      reject(error);
    };
    const rejectForMemory = (): void => rejectBody(createBodyMemoryError());
    const body = options.bodies.open({
      maxBytes: limits.maxBodyBytes,
      onEvicted: rejectForMemory,
    });
    request.on('data', (chunk: Buffer) => {
      lastChunkAtMs = clock.monotonicMs();
      const result = isRejected ? undefined : body.append(chunk);
      if (result === 'too-long') {
        rejectBody(
          new BodyTooLargeError(`The request body exceeds ${limits.maxBodyBytes} bytes.`, {
            props: { details: { maxBytes: limits.maxBodyBytes } },
          }),
        );
      } else if (result === 'no-memory') {
        rejectForMemory();
      }
    });
    request.on('end', () => {
      stopWaiting();
      resolve(body.complete());
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

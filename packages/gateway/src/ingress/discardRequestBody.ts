import type { IncomingMessage } from 'node:http';
import { startInputTimeout } from '@camphorbarrow/core';
import type { CallerLimits } from '../model/CallerLimits.js';

/** Time limit for a body whose pieces keep arriving. */
const MAX_DISCARD_MS = 30_000;
/** Least size that is read, in which a caller that sends too much can notice the response. */
const MIN_SIZE_LIMIT_BYTES = 1_048_576;

/**
 * Reads and drops the rest of a request body that is not needed. Many callers read the response
 * only after they have sent the whole body, and they lose it if the connection is closed before:
 * unread input makes the operating system reset the connection.
 *
 * A rest that exceeds the limits closes the connection.
 *
 * @param limits size of the rest, and time without input
 * @returns when the body is complete or the connection closed
 */
export function discardRequestBody(
  request: IncomingMessage,
  limits: Pick<CallerLimits, 'maxBodyBytes' | 'idleTimeoutMs'>,
): Promise<void> {
  return new Promise((resolve) => {
    if (request.closed) {
      resolve();
      return;
    }
    const closeConnection = (): void => {
      request.destroy();
    };
    const maxBytes = Math.max(limits.maxBodyBytes, MIN_SIZE_LIMIT_BYTES);
    let sizeBytes = 0;
    let idleTimeout = startInputTimeout(limits.idleTimeoutMs, closeConnection);
    const timeLimit = startInputTimeout(MAX_DISCARD_MS, closeConnection);
    request.on('data', (chunk: Buffer) => {
      idleTimeout.close();
      sizeBytes += chunk.length;
      if (sizeBytes > maxBytes) {
        closeConnection();
        return;
      }
      idleTimeout = startInputTimeout(limits.idleTimeoutMs, closeConnection);
    });
    request.on('close', () => {
      idleTimeout.close();
      timeLimit.close();
      resolve();
    });
    // The close event follows.
    request.on('error', () => undefined);
  });
}

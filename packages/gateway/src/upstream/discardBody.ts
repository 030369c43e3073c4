import type { IncomingMessage } from 'node:http';
import { startInputTimeout } from '@camphorbarrow/core';

const MAX_DISCARDED_BYTES = 1_048_576;
const MAX_DISCARD_MS = 1_000;

/**
 * Reads and drops the rest of a response, so that its connection can be used again. A body that is
 * too long or takes too long is not worth it: its connection is closed.
 */
export function discardBody(response: IncomingMessage): void {
  let sizeBytes = 0;
  const timeout = startInputTimeout(MAX_DISCARD_MS, () => response.destroy());
  response.on('data', (chunk: Buffer) => {
    sizeBytes += chunk.length;
    if (sizeBytes > MAX_DISCARDED_BYTES) {
      response.destroy();
    }
  });
  response.on('close', () => timeout.close());
  // Nobody waits for this body; the close event follows.
  response.on('error', () => undefined);
}

import type { IncomingMessage } from 'node:http';

const MAX_DISCARDED_BYTES = 1_048_576;
const MAX_DISCARD_MS = 1_000;

/**
 * Reads and drops the rest of a body, so that its connection can be used again. A body that is too
 * long or takes too long is not worth it: its connection is closed.
 */
export function discardBody(message: IncomingMessage): void {
  let sizeBytes = 0;
  const timer = setTimeout(() => message.destroy(), MAX_DISCARD_MS);
  message.on('data', (chunk: Buffer) => {
    sizeBytes += chunk.length;
    if (sizeBytes > MAX_DISCARDED_BYTES) {
      message.destroy();
    }
  });
  message.on('close', () => clearTimeout(timer));
  // Nobody waits for this body; the close event follows.
  message.on('error', () => undefined);
}

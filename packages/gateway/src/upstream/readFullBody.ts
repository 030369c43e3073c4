import type { IncomingMessage } from 'node:http';

/** Reads a complete body; undefined when it breaks off, exceeds `maxBytes` or is aborted. */
export function readFullBody(
  message: IncomingMessage,
  maxBytes: number,
  signal: AbortSignal,
): Promise<Buffer | undefined> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    const settle = (body: Buffer | undefined): void => {
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- mutual reference
      signal.removeEventListener('abort', onAbort);
      resolve(body);
    };
    const onAbort = (): void => {
      message.destroy();
      settle(undefined);
    };
    // A message that was destroyed before may have emitted its last event already.
    if (signal.aborted || message.destroyed) {
      onAbort();
      return;
    }
    signal.addEventListener('abort', onAbort, { once: true });
    message.on('data', (chunk: Buffer) => {
      sizeBytes += chunk.length;
      if (sizeBytes > maxBytes) {
        settle(undefined);
        message.destroy();
        return;
      }
      chunks.push(chunk);
    });
    message.on('end', () => settle(message.complete ? Buffer.concat(chunks) : undefined));
    message.on('error', () => settle(undefined));
    message.on('close', () => settle(undefined));
  });
}

import type { IncomingMessage } from 'node:http';
import type { BodyBuffers } from '@camphorbarrow/core';

/**
 * Why a body was not read completely. `too-long` and `no-memory`: the connection was closed, because
 * the body exceeds its limit, or the bodies of this process exceed theirs.
 */
export type BodyFailure = 'broken' | 'too-long' | 'no-memory' | 'aborted';

export type FullBody =
  { readonly kind: 'complete'; readonly bytes: Buffer } | { readonly kind: BodyFailure };

export interface ReadFullBodyOptions {
  /** Holds the bytes, also those of a complete body until it is released there. */
  readonly bodies: BodyBuffers;
  readonly maxBytes: number;
  readonly signal: AbortSignal;
  /** Called with the size of each chunk. */
  readonly onBytes?: (count: number) => void;
}

/** Reads a complete body. Never rejects. */
export function readFullBody(
  message: IncomingMessage,
  { bodies, maxBytes, signal, onBytes }: ReadFullBodyOptions,
): Promise<FullBody> {
  return new Promise((resolve) => {
    let isSettled = false;
    const stop = (kind: BodyFailure): void => {
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- mutual reference
      settle({ kind });
      message.destroy();
    };
    const buffer = bodies.open({ maxBytes, onEvicted: () => stop('no-memory') });
    const onAbort = (): void => stop('aborted');
    function settle(body: FullBody): void {
      if (!isSettled) {
        isSettled = true;
        signal.removeEventListener('abort', onAbort);
        if (body.kind !== 'complete') {
          buffer.release();
        }
        resolve(body);
      }
    }
    // A message that was destroyed before may have emitted its last event already.
    if (signal.aborted || message.destroyed) {
      stop(signal.aborted ? 'aborted' : 'broken');
      return;
    }
    signal.addEventListener('abort', onAbort, { once: true });
    message.on('data', (chunk: Buffer) => {
      if (isSettled) {
        return;
      }
      onBytes?.(chunk.length);
      const result = buffer.append(chunk);
      if (result !== 'kept') {
        stop(result);
      }
    });
    message.on('end', () =>
      settle(
        message.complete ? { kind: 'complete', bytes: buffer.complete() } : { kind: 'broken' },
      ),
    );
    message.on('error', () => settle({ kind: 'broken' }));
    message.on('close', () => settle({ kind: 'broken' }));
  });
}

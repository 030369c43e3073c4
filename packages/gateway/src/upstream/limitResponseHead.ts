import type { ClientRequest } from 'node:http';
import type { Socket } from 'node:net';

/** Interim responses (status 1xx) to one request after which it is ended. */
const MAX_INTERIM_RESPONSES = 16;
/**
 * Bytes before the head of the response is complete. The HTTP client limits a head to 16 KiB, but
 * not the blank lines before it. A read of the socket can hold 64 KiB of the body, too.
 */
const MAX_BYTES_BEFORE_RESPONSE = 131_072;

/** Calls `onExceeded` when interim responses or other bytes arrive in place of a response head. */
export function limitResponseHead(outgoing: ClientRequest, onExceeded: () => void): void {
  let interimResponses = 0;
  outgoing.on('information', () => {
    interimResponses += 1;
    if (interimResponses > MAX_INTERIM_RESPONSES) {
      onExceeded();
    }
  });
  outgoing.once('socket', (socket: Socket) => {
    let sizeBytes = 0;
    const onData = (chunk: Buffer): void => {
      sizeBytes += chunk.length;
      if (sizeBytes > MAX_BYTES_BEFORE_RESPONSE) {
        onExceeded();
      }
    };
    const stop = (): void => {
      socket.off('data', onData);
    };
    socket.on('data', onData);
    outgoing.once('response', stop);
    outgoing.once('close', stop);
  });
}

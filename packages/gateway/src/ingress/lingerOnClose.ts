import type { Server } from 'node:http';
import type { Socket } from 'node:net';
import { startInputTimeout } from '@camphorbarrow/core';

/** Time limit for a caller to close its side of a connection. */
const LINGER_MS = 1_000;

export interface LingeringConnections {
  /** Connections whose last response was sent and whose callers have not closed them. */
  count(): number;
}

/**
 * Closes the connections of a server in two steps. Input that arrives on a closed connection makes
 * the operating system reset it, and the caller may lose the response that it has not read. So only
 * the sending side is closed at first, and what still arrives is read and dropped for a limited time.
 */
export function lingerOnClose(server: Server): LingeringConnections {
  const sockets = new Set<Socket>();

  function closeAfterCaller(socket: Socket): void {
    if (sockets.has(socket)) {
      return;
    }
    if (socket.destroyed || socket.writableFinished) {
      socket.destroy();
      return;
    }
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
    // The time in which a caller reads the response does not count.
    socket.once('finish', () => {
      // Node.js stops reading while much of a response waits to be sent.
      socket.resume();
      const timeout = startInputTimeout(LINGER_MS, () => socket.destroy());
      socket.once('close', () => timeout.close());
    });
    socket.end();
  }

  server.on('connection', (socket) => {
    // Called after the last response of a connection and after the response to malformed input.
    socket.destroySoon = () => closeAfterCaller(socket);
  });
  return { count: () => sockets.size };
}

import type { Server } from 'node:http';
import { runAfterPoll } from '@camphorbarrow/core';

/**
 * Closes idle connections of a server. A timeout counts only after the sockets have been read, as
 * the process may have been paused while a request arrived.
 */
export function handleConnectionErrors(server: Server): void {
  // Node.js closes the connection itself only if nobody listens to this event. Input that is read
  // restarts the timeout.
  server.on('timeout', (socket) => {
    const { bytesRead } = socket;
    runAfterPoll(() => {
      if (socket.bytesRead === bytesRead) {
        socket.destroy();
      }
    });
  });
}

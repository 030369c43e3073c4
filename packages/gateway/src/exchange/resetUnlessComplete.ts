import type { ServerResponse } from 'node:http';

/**
 * Has the connection of a response reset if it is closed before the response has ended. Must be called
 * once the head was written. Without chunks and a length, as for a client of HTTP/1.0, an orderly end
 * of the connection would mark the response as complete.
 */
export function resetUnlessComplete(response: ServerResponse): void {
  const { socket } = response;
  if (socket === null) {
    return;
  }
  const destroy = socket.destroy.bind(socket);
  const reset = (): void => {
    if (!response.writableFinished) {
      socket.destroy();
    }
  };
  socket.destroy = (error) => {
    socket.destroy = destroy;
    return response.writableFinished || socket.destroyed
      ? destroy(error)
      : socket.resetAndDestroy();
  };
  // Node.js ends its own side when the client has ended its one.
  socket.prependListener('end', reset);
  response.once('close', () => socket.off('end', reset));
}

import type { ServerResponse } from 'node:http';

/**
 * Creates a signal that aborts when the client disconnects before the response is complete. It
 * aborts as soon as the end of the client's side has been read; the response is closed only some
 * turns of the event loop later.
 */
export function createDisconnectSignal(response: ServerResponse): AbortSignal {
  const controller = new AbortController();
  const { socket } = response;
  const onDisconnect = (): void => {
    if (!response.writableFinished) {
      controller.abort();
    }
  };
  if (response.destroyed || socket?.destroyed === true || socket?.readableEnded === true) {
    onDisconnect();
  }
  socket?.on('end', onDisconnect);
  socket?.on('error', onDisconnect);
  response.on('close', () => {
    onDisconnect();
    socket?.off('end', onDisconnect);
    socket?.off('error', onDisconnect);
  });
  return controller.signal;
}

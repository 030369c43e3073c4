import type { IncomingMessage, ServerResponse } from 'node:http';

/**
 * Resolves when the response was passed to the operating system or its connection was closed. Must
 * be called before the response ends.
 */
export function waitForResponseEnd(
  { socket }: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  return new Promise((resolve) => {
    const onClose = (): void => {
      socket.off('close', onClose);
      resolve();
    };
    response.once('close', onClose);
    // A response that waits for another one on its connection is not closed with it.
    socket.once('close', onClose);
  });
}

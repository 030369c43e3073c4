import type { RequestHandler } from './createRequestHandler.js';

export interface InFlightTracker {
  count(): number;
  /**
   * Counts the requests of a handler. A request is in flight until its handler has ended and its
   * response was passed to the operating system or its connection was closed.
   */
  wrap(handle: RequestHandler): RequestHandler;
}

/** Creates a counter of the requests in flight. */
export function createInFlightTracker(): InFlightTracker {
  let count = 0;

  return {
    count: () => count,
    wrap: (handle) => (request, response) => {
      count += 1;
      const { socket } = request;
      const responseEnded = new Promise<void>((resolve) => {
        const onClose = (): void => {
          socket.off('close', onClose);
          resolve();
        };
        response.once('close', onClose);
        // A response that waits for another one on its connection is not closed with it.
        socket.once('close', onClose);
      });
      const handled = handle(request, response);
      void Promise.allSettled([handled, responseEnded]).then(() => {
        count -= 1;
      });
      return handled;
    },
  };
}

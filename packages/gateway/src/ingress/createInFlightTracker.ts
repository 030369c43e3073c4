import type { RequestHandler } from './createRequestHandler.js';
import { waitForResponseEnd } from './waitForResponseEnd.js';

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
      const responseEnded = waitForResponseEnd(request, response);
      const handled = handle(request, response);
      void Promise.allSettled([handled, responseEnded]).then(() => {
        count -= 1;
      });
      return handled;
    },
  };
}

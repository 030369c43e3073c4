import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

export interface ConnectionDrain {
  /** Records a new request. Returns false if its connection closes before it gets a response. */
  recordRequest(request: IncomingMessage): boolean;
  /** Whether to close the connection after the response to this request, which is sent now. */
  closesAfter(request: IncomingMessage): boolean;
}

/**
 * Decides which response closes a connection. Callers may send a request before they have the
 * response to the previous one; only the response to the last one may close the connection.
 *
 * @param shouldClose whether to close a connection, for example during a drain
 */
export function createConnectionDrain(shouldClose: (socket: Socket) => boolean): ConnectionDrain {
  const latestRequests = new WeakMap<Socket, IncomingMessage>();
  const closingSockets = new WeakSet<Socket>();

  return {
    recordRequest(request) {
      latestRequests.set(request.socket, request);
      return !closingSockets.has(request.socket);
    },
    closesAfter(request) {
      const closes = latestRequests.get(request.socket) === request && shouldClose(request.socket);
      if (closes) {
        closingSockets.add(request.socket);
      }
      return closes;
    },
  };
}

import type { Server } from 'node:http';
import type { Socket } from 'node:net';

/** Connections that are accepted above the limit, as a share of it. */
const RESERVE_RATIO = 0.1;

export interface ConnectionLimit {
  /** Limits the connections of a server. */
  apply(server: Server): void;
  /** Whether a request on this connection has to be rejected. */
  isExceededBy(socket: Socket): boolean;
}

/**
 * Creates the limit on the connections of a server. The kernel accepts a connection, and the request
 * on it, before the process can reject it. A reserve above the limit allows to respond to this
 * request. A connection of the reserve counts as any other once another one has closed. Connections
 * beyond the reserve are closed immediately.
 */
export function createConnectionLimit(maxConnections: number): ConnectionLimit {
  let regularCount = 0;
  const reserve = new WeakSet<Socket>();

  return {
    apply(server) {
      server.maxConnections = maxConnections + Math.ceil(maxConnections * RESERVE_RATIO);
      server.on('connection', (socket) => {
        if (regularCount < maxConnections) {
          regularCount += 1;
        } else {
          reserve.add(socket);
        }
        socket.once('close', () => {
          if (!reserve.has(socket)) {
            regularCount -= 1;
          }
        });
      });
    },
    isExceededBy(socket) {
      if (!reserve.has(socket)) {
        return false;
      }
      if (regularCount < maxConnections) {
        reserve.delete(socket);
        regularCount += 1;
        return false;
      }
      return true;
    },
  };
}

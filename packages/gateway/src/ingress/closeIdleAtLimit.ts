import type { Clock } from '@camphorbarrow/core';
import type { Server } from 'node:http';
import type { Socket } from 'node:net';

/** Share of the connections of a server from which idle ones are closed for new ones. */
const FULL_RATIO = 0.9;
/** Time for which a connection may be idle in any case: an ordinary client is about to send. */
const MIN_IDLE_MS = 1_000;

export interface IdleCloseOptions {
  readonly clock: Clock;
  /** Whether connections on which a request was answered are closed, too. */
  readonly includesUsed: boolean;
  /** Called when a connection is closed to make room. */
  readonly onClose: () => void;
}

/**
 * Closes the oldest idle connection for a new one while a server is nearly full, so that clients that
 * open connections and send nothing, or never end a head, don't keep others out.
 */
export function closeIdleAtLimit(server: Server, options: IdleCloseOptions): void {
  const open = new Set<Socket>();
  /** Since when they are idle, in this order. */
  const idle = new Map<Socket, number>();

  function closeOldest(): void {
    const [oldest] = idle;
    if (oldest !== undefined && options.clock.monotonicMs() >= oldest[1] + MIN_IDLE_MS) {
      const [socket] = oldest;
      idle.delete(socket);
      open.delete(socket);
      options.onClose();
      socket.destroy();
    }
  }

  server.on('connection', (socket) => {
    open.add(socket);
    if (open.size > server.maxConnections * FULL_RATIO) {
      closeOldest();
    }
    idle.set(socket, options.clock.monotonicMs());
    socket.once('close', () => {
      open.delete(socket);
      idle.delete(socket);
    });
  });
  // The connection that was dropped comes again.
  server.on('drop', closeOldest);
  server.prependListener('request', ({ socket }, response) => {
    idle.delete(socket);
    if (options.includesUsed) {
      response.once('close', () => {
        if (open.has(socket)) {
          idle.set(socket, options.clock.monotonicMs());
        }
      });
    }
  });
}

import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import type { RelayRoute } from './RelayOptions.js';

export interface RelayListener {
  close(): Promise<void>;
}

const RETRY_MS = 50;

/** Connects to the process behind the route; undefined when it does not listen. */
async function connectSentinel({ bound }: RelayRoute): Promise<Socket | undefined> {
  const socket = connect({ host: bound.address, port: bound.port });
  try {
    await once(socket, 'connect');
    return socket;
  } catch {
    socket.destroy();
    return undefined;
  }
}

function closeOf(socket: Socket): Promise<void> {
  return new Promise((resolve) => {
    socket.on('error', () => undefined).once('close', () => resolve());
    // Data or an end only arrives when the process gives the idle connection up.
    socket.on('end', () => socket.destroy()).resume();
  });
}

/**
 * Listens on a route's announced address while the process behind it listens on the bound one, so
 * that a connection to a dead process is refused as it would be without the relay. An idle
 * connection to the process tells at once when the process ends or closes its listener.
 */
export function createRelayListener(
  route: RelayRoute,
  onConnection: (client: Socket) => void,
): RelayListener {
  const stopping = new AbortController();
  let server: Server | undefined;
  let sentinel: Socket | undefined;

  async function open(): Promise<void> {
    const next = createServer({ allowHalfOpen: true }, onConnection);
    next.listen(route.announced.port, route.announced.address);
    await once(next, 'listening');
    server = next;
  }

  function shut(): void {
    server?.close();
    server = undefined;
  }

  async function follow(): Promise<void> {
    while (!stopping.signal.aborted) {
      sentinel = await connectSentinel(route);
      if (sentinel === undefined) {
        shut();
        await delay(RETRY_MS, undefined, { signal: stopping.signal }).catch(() => undefined);
        continue;
      }
      const closed = closeOf(sentinel);
      if (server === undefined) {
        await open();
      }
      if (stopping.signal.aborted) {
        sentinel.destroy();
      }
      await closed;
    }
    shut();
  }

  const task = follow();
  return {
    async close() {
      stopping.abort();
      sentinel?.destroy();
      await task;
    },
  };
}

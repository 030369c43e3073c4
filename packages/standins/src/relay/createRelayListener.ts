import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import type { RelayRoute } from './RelayOptions.js';

export interface RelayListener {
  close(): Promise<void>;
}

const RETRY_MS = 50;

/** Connects to the route's process; resolves to undefined when it does not listen. */
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

function waitForClose(socket: Socket): Promise<void> {
  return new Promise((resolve) => {
    socket.on('error', () => undefined).once('close', () => resolve());
    // The process sends data or an end only when it closes the idle connection.
    socket.on('end', () => socket.destroy()).resume();
  });
}

/**
 * Listens on a route's announced address while its process listens on the bound address, so that a
 * connection to a stopped process is refused as it would be without the relay. An idle connection
 * to the process detects at once that the process has exited or closed its listener.
 */
export function createRelayListener(
  route: RelayRoute,
  onConnection: (client: Socket) => void,
): RelayListener {
  const stopping = new AbortController();
  let server: Server | undefined;
  let sentinel: Socket | undefined;

  async function openServer(): Promise<void> {
    const next = createServer({ allowHalfOpen: true }, onConnection);
    next.listen(route.announced.port, route.announced.address);
    await once(next, 'listening');
    server = next;
  }

  function closeServer(): void {
    server?.close();
    server = undefined;
  }

  async function watchProcess(): Promise<void> {
    while (!stopping.signal.aborted) {
      sentinel = await connectSentinel(route);
      if (sentinel === undefined) {
        closeServer();
        await delay(RETRY_MS, undefined, { signal: stopping.signal }).catch(() => undefined);
        continue;
      }
      const closed = waitForClose(sentinel);
      if (server === undefined) {
        await openServer();
      }
      if (stopping.signal.aborted) {
        sentinel.destroy();
      }
      await closed;
    }
    closeServer();
  }

  const task = watchProcess();
  return {
    async close() {
      stopping.abort();
      sentinel?.destroy();
      await task;
    },
  };
}

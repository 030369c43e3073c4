import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import type { RelayRoute } from './RelayOptions.js';

export interface RelayListener {
  /** Checks at once whether the process behind the route still listens. */
  check(): void;
  close(): Promise<void>;
}

const CHECK_INTERVAL_MS = 100;
const PROBE_TIMEOUT_MS = 500;

/** Whether a connection to the address is accepted. A frozen process still accepts. */
async function isListening({ bound }: RelayRoute): Promise<boolean> {
  const socket = connect({ host: bound.address, port: bound.port });
  try {
    await once(socket, 'connect', { signal: AbortSignal.timeout(PROBE_TIMEOUT_MS) });
    return true;
  } catch (error) {
    return (error as { code?: string }).code !== 'ECONNREFUSED';
  } finally {
    socket.destroy();
  }
}

/**
 * Listens on a route's announced address while the process behind it listens on the bound one, so
 * that a connection to a dead process is refused as it would be without the relay.
 */
export function createRelayListener(
  route: RelayRoute,
  onConnection: (client: Socket) => void,
): RelayListener {
  const stopping = new AbortController();
  let server: Server | undefined;
  let recheck = new AbortController();

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
      const up = await isListening(route);
      if (up && server === undefined) {
        await open();
      } else if (!up) {
        shut();
      }
      recheck = new AbortController();
      const signal = AbortSignal.any([stopping.signal, recheck.signal]);
      await delay(CHECK_INTERVAL_MS, undefined, { signal }).catch(() => undefined);
    }
    shut();
  }

  const task = follow();
  return {
    check: () => recheck.abort(),
    async close() {
      stopping.abort();
      await task;
    },
  };
}

import { once } from 'node:events';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import type { RelayEndpoint, RelayRoute } from './RelayOptions.js';
import type { RelayRules } from './createRelayRules.js';
import type { TrafficRecorder } from './createTrafficRecorder.js';
import { forwardBytes } from './forwardBytes.js';

export interface RelayedConnection {
  readonly from: RelayEndpoint;
  readonly to: RelayEndpoint;
  /** Stops forwarding for good without closing either side. */
  silence(): void;
  reset(): void;
  /** Resolves when the client's side is closed. */
  readonly ended: Promise<void>;
}

export interface RelayConnectionOptions {
  readonly client: Socket;
  readonly from: RelayEndpoint;
  readonly route: RelayRoute;
  readonly rules: RelayRules;
  readonly trafficRecorder: TrafficRecorder;
}

/** Relays one client connection to the process of a route. */
export function relayConnection(options: RelayConnectionOptions): RelayedConnection {
  const { client, from, route, rules, trafficRecorder } = options;
  const to: RelayEndpoint = { name: route.name, region: route.region };
  const stopping = new AbortController();
  const { signal } = stopping;
  let server: Socket | undefined;
  let silenced = false;
  const isSilenced = (): boolean => silenced;

  function reset(): void {
    stopping.abort();
    client.resetAndDestroy();
    server?.resetAndDestroy();
  }

  // A clean end is forwarded with the bytes. A connection that breaks on one side resets the other
  // side after the delay and, during a cut, not before the cut ends; not at all once silenced.
  async function forwardBreak(broken: Socket, hadError: boolean): Promise<void> {
    if (silenced || (broken.readableEnded && !hadError)) {
      return;
    }
    const [near, far] = broken === client ? [from, to] : [to, from];
    await delay(rules.delayMs(near, far), undefined, { signal });
    await rules.waitUntilOpen(near, far, signal);
    reset();
  }

  function watchClose(socket: Socket): void {
    socket.on('error', () => undefined);
    socket.on('close', (hadError: boolean) => {
      forwardBreak(socket, hadError).catch(() => undefined);
    });
  }

  async function connectServer(): Promise<Socket> {
    const handshakeMs = rules.delayMs(from, to) + rules.delayMs(to, from);
    await delay(handshakeMs, undefined, { signal });
    await rules.waitUntilOpen(from, to, signal);
    await rules.waitUntilOpen(to, from, signal);
    const { address, port } = route.bound;
    const socket = connect({ host: address, port, allowHalfOpen: true, noDelay: true });
    server = socket;
    watchClose(socket);
    await once(socket, 'connect', { signal });
    return socket;
  }

  client.setNoDelay(true);
  watchClose(client);
  // Nothing may be delivered later for a client that disconnects before the server is connected.
  const resetUnconnected = (): void => {
    if (server === undefined) {
      reset();
    }
  };
  client.on('end', resetUnconnected).on('close', resetUnconnected);
  const ended = new Promise<void>((resolve) => {
    client.once('close', () => resolve());
  });

  const connected = connectServer();
  const common = { rules, isSilenced, signal };
  const tasks = [
    forwardBytes({
      ...common,
      source: client,
      destination: connected,
      from,
      to,
      record: trafficRecorder.startRecording(from, to),
    }),
    connected.then((socket) =>
      forwardBytes({
        ...common,
        source: socket,
        destination: Promise.resolve(client),
        from: to,
        to: from,
        record: trafficRecorder.startRecording(to, from),
      }),
    ),
  ];
  Promise.all(tasks).catch(() => reset());
  return {
    from,
    to,
    silence() {
      silenced = true;
    },
    reset,
    ended,
  };
}

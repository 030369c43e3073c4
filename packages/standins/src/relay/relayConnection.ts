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
  /** Nothing passes any more, and neither side learns of it. */
  silence(): void;
  reset(): void;
  /** Resolves when both sides are closed. */
  readonly ended: Promise<void>;
}

export interface RelayConnectionOptions {
  readonly client: Socket;
  readonly from: RelayEndpoint;
  readonly route: RelayRoute;
  readonly rules: RelayRules;
  readonly trafficRecorder: TrafficRecorder;
}

/** Stands between one client connection and the process behind a route. */
export function relayConnection(options: RelayConnectionOptions): RelayedConnection {
  const { client, from, route, rules, trafficRecorder: transcript } = options;
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

  // An orderly end is passed on with the bytes. A broken side breaks the other: late, after a cut,
  // or never.
  async function passBreak(broken: Socket, hadError: boolean): Promise<void> {
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
      passBreak(socket, hadError).catch(() => undefined);
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
  // A client that gives up before the connection exists leaves nothing to deliver later.
  const giveUp = (): void => {
    if (server === undefined) {
      reset();
    }
  };
  client.on('end', giveUp).on('close', giveUp);
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
      record: transcript.startRecording(from, to),
    }),
    connected.then((socket) =>
      forwardBytes({
        ...common,
        source: socket,
        destination: Promise.resolve(client),
        from: to,
        to: from,
        record: transcript.startRecording(to, from),
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

import { createSocket } from 'node:dgram';
import type { Clock, HostId, LogSink } from '@camphorbarrow/core';
import type { Endpoint } from '../model/Endpoint.js';
import type { HostRegistration } from '../model/HostRegistration.js';
import type { PeerBook } from './createPeerBook.js';
import { decodeHeartbeat, encodeHeartbeat } from './heartbeatCodec.js';
import type { HeartbeatEcho, PeerHeartbeat } from './PeerHeartbeat.js';

export interface HeartbeatOptions {
  readonly clock: Clock;
  readonly log: LogSink;
  readonly own: HostRegistration;
  readonly peers: PeerBook;
  /** Entry hosts registered in the store. */
  readonly registered: () => readonly HostRegistration[];
  /** Addresses of hosts from the settings, used until they are known by name. */
  readonly seeds: () => readonly Endpoint[];
  readonly describe: (echo: HeartbeatEcho | undefined) => PeerHeartbeat;
  readonly onHeartbeat: (heartbeat: PeerHeartbeat) => void;
  readonly intervalMs: number;
  /** Heartbeats to hosts of other regions go out with every n-th round. */
  readonly remoteEvery: number;
}

export interface Heartbeats {
  /** Sends one round at once, for a change that must not wait. */
  announce(): void;
  close(): void;
}

const endpointKey = ({ host, port }: Endpoint): string => `${host}:${port}`;

/** Sends and receives heartbeats over UDP on the peers' port of this host. */
export function createHeartbeats(options: HeartbeatOptions): Heartbeats {
  const { log, own, peers } = options;
  const socket = createSocket('udp4');
  let round = 0;

  function targets(): ReadonlyMap<string, { endpoint: Endpoint; host?: HostRegistration }> {
    const found = new Map<string, { endpoint: Endpoint; host?: HostRegistration }>();
    options.seeds().forEach((endpoint) => found.set(endpointKey(endpoint), { endpoint }));
    const hosts = [
      ...options.registered(),
      ...peers.known().map(({ heartbeat }) => heartbeat.host),
    ];
    hosts.forEach((host) => found.set(endpointKey(host.peers), { endpoint: host.peers, host }));
    found.delete(endpointKey(own.peers));
    return found;
  }

  function sendTo(endpoint: Endpoint, id: HostId | undefined): void {
    const echo = id === undefined ? undefined : peers.echoFor(id);
    socket.send(encodeHeartbeat(options.describe(echo)), endpoint.port, endpoint.host, (error) => {
      if (error !== null) {
        log.warn('heartbeat-not-sent', { peer: endpointKey(endpoint), reason: error.message });
      }
    });
  }

  function send(everyone: boolean): void {
    targets().forEach(({ endpoint, host }) => {
      const near = host === undefined || host.region === own.region;
      if (near || everyone) {
        sendTo(endpoint, host?.id);
      }
    });
  }

  socket.on('message', (datagram) => {
    try {
      const heartbeat = decodeHeartbeat(datagram);
      if (heartbeat.host.id !== own.id) {
        options.onHeartbeat(heartbeat);
      }
    } catch (error) {
      log.warn('heartbeat-unreadable', { reason: (error as Error).message });
    }
  });
  socket.on('error', (error) => log.error('heartbeat-socket-failed', {}, error));
  socket.bind(own.peers.port, own.peers.host);

  const timer = setInterval(() => {
    send(round % options.remoteEvery === 0);
    round += 1;
  }, options.intervalMs);

  return {
    announce: () => send(true),
    close() {
      clearInterval(timer);
      socket.close();
    },
  };
}

import { createSocket } from 'node:dgram';
import type { Clock, LogSink } from '@camphorbarrow/core';
import type { Endpoint } from '../model/Endpoint.js';
import type { HostRegistration } from '../model/HostRegistration.js';
import type { PeerRegistry } from './createPeerRegistry.js';
import { createHeartbeatEncoder, decodeHeartbeat } from './heartbeatCodec.js';
import type { PeerHeartbeat } from './PeerHeartbeat.js';

export interface HeartbeatOptions {
  readonly clock: Clock;
  readonly log: LogSink;
  readonly own: HostRegistration;
  readonly peers: PeerRegistry;
  /** Entry hosts registered in the store. */
  readonly registeredHosts: () => readonly HostRegistration[];
  /** Addresses of hosts from the settings, used until they are known by name. */
  readonly seeds: () => readonly Endpoint[];
  /** What this host tells others now; hosts of other regions get no loads and no crashes. */
  readonly buildHeartbeat: () => Omit<PeerHeartbeat, 'echo'>;
  readonly onHeartbeat: (heartbeat: PeerHeartbeat) => void;
  readonly intervalMs: number;
}

export interface Heartbeats {
  /** Sends one round at once, for a change that must not wait. */
  sendToAll(): void;
  close(): void;
}

/** Datagrams of one round to hosts of this region and to others. */
const NEAR_PER_ROUND = 4;
const FAR_PER_ROUND = 3;

interface Target {
  readonly endpoint: Endpoint;
  /** Undefined for a seed whose host is not known yet. */
  readonly host: HostRegistration | undefined;
}

const endpointKey = ({ host, port }: Endpoint): string => `${host}:${port}`;

/** Sends and receives heartbeats over UDP on the peers' port of this host. */
export function createHeartbeats(options: HeartbeatOptions): Heartbeats {
  const { log, own, peers } = options;
  const socket = createSocket('udp4');
  let round = 0;

  const isNear = ({ host }: Target): boolean => host === undefined || host.region === own.region;

  function targets(): readonly Target[] {
    const found = new Map<string, Target>();
    options
      .seeds()
      .forEach((endpoint) => found.set(endpointKey(endpoint), { endpoint, host: undefined }));
    const hosts = [
      ...options.registeredHosts(),
      ...peers.known().map(({ heartbeat }) => heartbeat.host),
    ];
    hosts.forEach((host) => found.set(endpointKey(host.peers), { endpoint: host.peers, host }));
    found.delete(endpointKey(own.peers));
    return [...found.values()];
  }

  function sendTo(receivers: readonly Target[]): void {
    const described = options.buildHeartbeat();
    const encodeNear = createHeartbeatEncoder(described);
    const encodeFar = createHeartbeatEncoder({ ...described, loads: new Map(), crashes: [] });
    receivers.forEach((target) => {
      const { endpoint, host } = target;
      const echo = host === undefined ? undefined : peers.echoFor(host.id);
      const datagram = isNear(target) ? encodeNear(echo) : encodeFar(echo);
      socket.send(datagram, endpoint.port, endpoint.host, (error) => {
        if (error !== null) {
          log.warn('heartbeat-not-sent', { peer: endpointKey(endpoint), reason: error.message });
        }
      });
    });
  }

  /** The hosts whose turn it is, so that the cost of a round does not grow with the fleet. */
  function turnOf(hosts: readonly Target[], perRound: number): readonly Target[] {
    const rounds = Math.max(1, Math.ceil(hosts.length / perRound));
    return hosts.filter((_, index) => index % rounds === round % rounds);
  }

  function sendRound(): void {
    const all = targets();
    const near = all.filter(isNear);
    const far = all.filter((target) => !isNear(target));
    sendTo([...turnOf(near, NEAR_PER_ROUND), ...turnOf(far, FAR_PER_ROUND)]);
    round += 1;
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

  const timer = setInterval(sendRound, options.intervalMs);

  return {
    sendToAll: () => sendTo(targets()),
    close() {
      clearInterval(timer);
      socket.close();
    },
  };
}

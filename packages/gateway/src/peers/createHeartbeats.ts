import { createSocket } from 'node:dgram';
import { runAfterPoll } from '@camphorbarrow/core';
import type { Clock, LogSink, PartEvidence } from '@camphorbarrow/core';
import { logFailures } from '../errors/logFailures.js';
import type { Endpoint } from '../model/Endpoint.js';
import type { HostRegistration } from '../model/HostRegistration.js';
import { bindWithRetry } from './bindWithRetry.js';
import type { PeerRegistry } from './createPeerRegistry.js';
import { createHeartbeatDecoder } from './createHeartbeatDecoder.js';
import { createRoundEncoder } from './heartbeatCodec.js';
import type { PeerHeartbeat } from './PeerHeartbeat.js';
import { localReportRounds, remoteReportRounds } from './reportRounds.js';

/** A round that begins later than this shows that the process stood still. */
const MAX_ROUND_DELAY_MS = 200;
const IPV4_FAMILY = 4;

export interface HeartbeatOptions {
  readonly clock: Clock;
  readonly log: LogSink;
  readonly own: HostRegistration;
  readonly peers: PeerRegistry;
  /** Entry hosts registered in the store. */
  readonly registeredHosts: () => readonly HostRegistration[];
  /** Addresses of hosts from the settings, used while the hosts are not known. */
  readonly seeds: () => readonly Endpoint[];
  /** Builds the current heartbeat; hosts of other regions get it without loads and limits. */
  readonly buildHeartbeat: () => Omit<PeerHeartbeat, 'echo'>;
  /** Evidence for hosts of other regions; each host of this one sends them what it observed. */
  readonly ownPartEvidence: () => PartEvidence;
  readonly onHeartbeat: (heartbeat: PeerHeartbeat) => void;
  /** Called with each datagram; returns true for one that is no heartbeat and needs nothing else. */
  readonly onDatagram?: (datagram: Buffer) => boolean;
  /** Called after each round, and after heartbeats to all hosts. */
  readonly onSent?: (sent: SentHeartbeats) => void;
  readonly intervalMs: number;
}

/** Heartbeats that were sent together. */
export interface SentHeartbeats {
  readonly receivers: number;
  /** Size of all of them together. */
  readonly totalBytes: number;
  /** Whether they went to all hosts at once because of an urgent change. */
  readonly isUrgent: boolean;
}

/** Exchange of heartbeats with the other entry hosts. */
export interface Heartbeats {
  /** Sends a heartbeat to all hosts immediately, for urgent changes. Returns the bytes sent. */
  sendToAll(): number;
  /** Sends another message to the peer endpoint of a host; resolves when it was sent or has failed. */
  send(datagram: Buffer, endpoint: Endpoint): Promise<void>;
  /** Whether the peer endpoint is bound. Nothing is sent or received before. */
  isBound(): boolean;
  close(): void;
}

interface Target {
  readonly endpoint: Endpoint;
  /** Undefined for a seed address whose host is not known yet. */
  readonly host: HostRegistration | undefined;
}

interface Targets {
  readonly all: readonly Target[];
  /** Hosts of this region, and seeds whose region is not known. */
  readonly local: readonly Target[];
  readonly remote: readonly Target[];
}

const endpointKey = ({ host, port }: Endpoint): string => `${host}:${port}`;

/**
 * Starts sending and receiving heartbeats over UDP on the peer endpoint of this host, once that can be
 * bound.
 */
export function createHeartbeats(options: HeartbeatOptions): Heartbeats {
  const { clock, log, own, peers } = options;
  const socket = createSocket({
    type: 'udp4',
    // Endpoints hold addresses; the default resolver costs a turn of the event loop for each datagram.
    lookup: (address, _options, callback) => callback(null, address, IPV4_FAMILY),
  });
  const stopBinding = new AbortController();
  let isBound = false;
  let round = 0;
  let lastRoundAtMs = clock.monotonicMs();
  /** Whether heartbeats may be unread that arrived while the process stood still. */
  let isCatchingUp = false;
  let receivedCount = 0;
  const decode = createHeartbeatDecoder();

  const isLocal = ({ host }: Target): boolean => host === undefined || host.region === own.region;

  /** Sources that the current targets were computed from. */
  let targetSources: readonly (readonly unknown[])[] = [];
  let targets: Targets = { all: [], local: [], remote: [] };

  function computeTargets(seeds: readonly Endpoint[], hosts: readonly HostRegistration[]): Targets {
    const targetsByEndpoint = new Map<string, Target>();
    seeds.forEach((endpoint) =>
      targetsByEndpoint.set(endpointKey(endpoint), { endpoint, host: undefined }),
    );
    hosts.forEach((host) =>
      targetsByEndpoint.set(endpointKey(host.peers), { endpoint: host.peers, host }),
    );
    targetsByEndpoint.delete(endpointKey(own.peers));
    const all = [...targetsByEndpoint.values()];
    return { all, local: all.filter(isLocal), remote: all.filter((target) => !isLocal(target)) };
  }

  /** Current targets; they change much less often than rounds begin. */
  function currentTargets(): Targets {
    const seeds = options.seeds();
    const registered = options.registeredHosts();
    const known = peers.knownHosts();
    const sources = [seeds, registered, known];
    if (sources.some((source, index) => source !== targetSources[index])) {
      targetSources = sources;
      targets = computeTargets(seeds, [...registered, ...known]);
    }
    return targets;
  }

  function sendDatagram(
    datagram: Buffer,
    endpoint: Endpoint,
    onSent: () => void = () => undefined,
  ): void {
    const fail = ({ message }: Error): void => {
      log.warn('heartbeat-send-failed', { peer: endpointKey(endpoint), reason: message });
      onSent();
    };
    if (!isBound) {
      // Sending would bind the socket to a port on which no host is heard.
      onSent();
      return;
    }
    try {
      socket.send(datagram, endpoint.port, endpoint.host, (error) => {
        if (error === null) {
          onSent();
        } else {
          fail(error);
        }
      });
    } catch (error) {
      // Thrown for an address that is out of range and for a closed socket.
      fail(error as Error);
    }
  }

  function sendTo(receivers: readonly Target[], isUrgent: boolean): number {
    let totalBytes = 0;
    const heartbeat = options.buildHeartbeat();
    const encoderFor = createRoundEncoder(heartbeat);
    const encodeLocal = encoderFor(heartbeat);
    const encodeRemote = encoderFor({
      loads: new Map(),
      paces: new Map(),
      serverLimits: [],
      partEvidence: options.ownPartEvidence(),
    });
    receivers.forEach((target) => {
      const { endpoint, host } = target;
      const echo = host === undefined ? undefined : peers.echoFor(host.id);
      const datagram = isLocal(target) ? encodeLocal(echo) : encodeRemote(echo);
      totalBytes += datagram.length;
      sendDatagram(datagram, endpoint);
    });
    options.onSent?.({ receivers: receivers.length, totalBytes, isUrgent });
    return totalBytes;
  }

  /** Selects the hosts of this round, so that its cost does not grow with the fleet. */
  function selectForRound(hosts: readonly Target[], rounds: number): readonly Target[] {
    return hosts.filter((_, index) => index % rounds === round % rounds);
  }

  const hasStoodStill = (): boolean =>
    clock.monotonicMs() - lastRoundAtMs > options.intervalMs + MAX_ROUND_DELAY_MS;

  /** A poll reads a limited number of datagrams, so this goes on until one reads none. */
  function catchUp(): void {
    isCatchingUp = true;
    const countBefore = receivedCount;
    runAfterPoll(() => {
      if (receivedCount > countBefore) {
        catchUp();
      } else {
        isCatchingUp = false;
      }
    });
  }

  function sendRound(): void {
    if (hasStoodStill() && !isCatchingUp) {
      catchUp();
    }
    lastRoundAtMs = clock.monotonicMs();
    const { local, remote } = currentTargets();
    const receivers = [
      ...selectForRound(local, localReportRounds(local.length)),
      ...selectForRound(remote, remoteReportRounds(remote.length)),
    ];
    sendTo(receivers, false);
    round += 1;
  }

  socket.on('message', (datagram, { address, port }) => {
    receivedCount += 1;
    try {
      if (options.onDatagram?.(datagram) === true) {
        return;
      }
      const heartbeat = decode(datagram, `${address}:${port}`);
      if (heartbeat.host.id !== own.id) {
        // The time for which a heartbeat was not read is no part of the round trip.
        const mayHaveWaited = isCatchingUp || hasStoodStill();
        options.onHeartbeat(mayHaveWaited ? { ...heartbeat, echo: undefined } : heartbeat);
      }
    } catch (error) {
      log.warn('heartbeat-unreadable', { reason: (error as Error).message });
    }
  });
  socket.once('listening', () => {
    isBound = true;
    socket.on('error', (error) => log.error('heartbeat-socket-failed', {}, error));
  });
  void bindWithRetry(socket, {
    endpoint: own.peers,
    clock,
    log,
    name: 'heartbeats',
    signal: stopBinding.signal,
  });

  const timer = setInterval(
    logFailures(log, 'heartbeat-round-failed', sendRound),
    options.intervalMs,
  );

  return {
    sendToAll: () => sendTo(currentTargets().all, true),
    send: (datagram, endpoint) =>
      new Promise((resolve) => {
        sendDatagram(datagram, endpoint, resolve);
      }),
    isBound: () => isBound,
    close() {
      stopBinding.abort();
      isBound = false;
      clearInterval(timer);
      socket.close();
    },
  };
}

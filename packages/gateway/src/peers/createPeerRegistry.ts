import type { Clock, HostId, LogSink, RegionId } from '@camphorbarrow/core';
import type { HostRegistration } from '../model/HostRegistration.js';
import type { HeartbeatEcho, PeerHeartbeat } from './PeerHeartbeat.js';
import { HEARTBEAT_INTERVAL_MS, localReportRounds, remoteReportRounds } from './reportRounds.js';

/** Hosts without a heartbeat for longer are unresponsive, if they are heard of often enough. */
const MIN_PEER_TIMEOUT_MS = 2_500;
/** Timeout in intervals at which a host is heard of; one heartbeat may be lost. */
const PEER_TIMEOUT_INTERVALS = 2.2;
/** Hosts without a heartbeat for longer are removed. */
const PEER_RETENTION_MS = 60_000;
/** Maximum age of the cached list of alive peers. */
const ALIVE_LIST_MAX_AGE_MS = 50;
/** Polls after which a silent host is unresponsive although heartbeats of others keep arriving. */
const MAX_POLLS = 20;
/** Weight of a new sample in the moving average of the round-trip time. */
const ROUND_TRIP_WEIGHT = 0.2;

/** Another entry host. */
export interface Peer {
  readonly heartbeat: PeerHeartbeat;
  /** Monotonic time at which the latest heartbeat arrived. */
  readonly lastHeartbeatAtMs: number;
  /** Moving average of the round-trip time; undefined before the first echo. */
  readonly roundTripMs: number | undefined;
}

/** Known entry hosts other than this one. */
export interface PeerRegistry {
  recordHeartbeat(heartbeat: PeerHeartbeat): void;
  /**
   * Responsive peers, in any state. Others get no requests and are not listed to callers. Returns
   * the same array until a heartbeat arrives or the cached list expires.
   */
  alive(): readonly Peer[];
  aliveIn(region: RegionId): readonly Peer[];
  /** All known peers, including unresponsive ones, to send heartbeats to. */
  known(): readonly Peer[];
  /** Registrations of all known peers; the same array until a peer is added, removed or starts again. */
  knownHosts(): readonly HostRegistration[];
  /** Echo of the latest heartbeat of the peer. */
  echoFor(id: HostId): HeartbeatEcho | undefined;
}

/**
 * Creates a registry that is updated from the heartbeats of the peers. The more peers there are, the
 * less often each is heard of, and the longer it takes until a silent one is unresponsive.
 *
 * @param ownRegion region whose hosts are heard of more often than others
 * @param afterRead calls back after the sockets were read; a silent peer stays responsive until all
 *   heartbeats that have arrived were recorded
 */
export function createPeerRegistry(
  clock: Clock,
  log: LogSink,
  ownRegion: RegionId,
  afterRead: (callback: () => void) => void = (callback) => callback(),
): PeerRegistry {
  const peers = new Map<HostId, Peer>();
  let localTimeoutMs = MIN_PEER_TIMEOUT_MS;
  let remoteTimeoutMs = MIN_PEER_TIMEOUT_MS;
  const unresponsive = new Set<HostId>();
  /** Process of each peer before its current one, whose last heartbeats may arrive late. */
  const earlierIncarnations = new Map<HostId, string>();
  let isCheckScheduled = false;
  let heartbeatCount = 0;
  let listedAtMs = -Infinity;
  let aliveList: readonly Peer[] = [];
  let hostList: readonly HostRegistration[] | undefined;
  let aliveByRegion = new Map<RegionId, readonly Peer[]>();

  const isLocal = ({ heartbeat }: Peer): boolean => heartbeat.host.region === ownRegion;

  function updateTimeouts(): void {
    const locals = [...peers.values()].filter(isLocal).length;
    const timeoutMs = (rounds: number): number =>
      Math.max(MIN_PEER_TIMEOUT_MS, rounds * HEARTBEAT_INTERVAL_MS * PEER_TIMEOUT_INTERVALS);
    localTimeoutMs = timeoutMs(localReportRounds(locals));
    remoteTimeoutMs = timeoutMs(remoteReportRounds(peers.size - locals));
  }

  function isSilent(peer: Peer, nowMs: number): boolean {
    const timeoutMs = isLocal(peer) ? localTimeoutMs : remoteTimeoutMs;
    return nowMs - peer.lastHeartbeatAtMs > timeoutMs;
  }

  const isAlive = (peer: Peer, nowMs: number): boolean =>
    !(isSilent(peer, nowMs) && unresponsive.has(peer.heartbeat.host.id));

  const isToRemove = ({ lastHeartbeatAtMs }: Peer, nowMs: number): boolean =>
    nowMs - lastHeartbeatAtMs > PEER_RETENTION_MS;

  const hasTimedOut = (peer: Peer, nowMs: number): boolean =>
    (isSilent(peer, nowMs) && isAlive(peer, nowMs)) || isToRemove(peer, nowMs);

  function checkTimeouts(): void {
    isCheckScheduled = false;
    listedAtMs = -Infinity;
    const nowMs = clock.monotonicMs();
    peers.forEach((peer, id) => {
      if (isToRemove(peer, nowMs)) {
        peers.delete(id);
        hostList = undefined;
        unresponsive.delete(id);
        earlierIncarnations.delete(id);
        updateTimeouts();
      } else if (hasTimedOut(peer, nowMs)) {
        unresponsive.add(id);
        log.warn('peer-unresponsive', {
          hostId: id,
          sinceLastHeartbeatMs: Math.round(nowMs - peer.lastHeartbeatAtMs),
        });
      }
    });
  }

  /** Checks the timeouts once no more heartbeats are read; a poll reads only some of them. */
  function checkAfterHeartbeats(polls = 1): void {
    const countBefore = heartbeatCount;
    afterRead(() => {
      if (heartbeatCount > countBefore && polls < MAX_POLLS) {
        checkAfterHeartbeats(polls + 1);
      } else {
        checkTimeouts();
      }
    });
  }

  function alive(): readonly Peer[] {
    const nowMs = clock.monotonicMs();
    if (nowMs - listedAtMs > ALIVE_LIST_MAX_AGE_MS) {
      if (!isCheckScheduled && [...peers.values()].some((peer) => hasTimedOut(peer, nowMs))) {
        isCheckScheduled = true;
        checkAfterHeartbeats();
      }
      listedAtMs = nowMs;
      aliveList = [...peers.values()].filter((peer) => isAlive(peer, nowMs));
      aliveByRegion = new Map();
    }
    return aliveList;
  }

  function aliveIn(region: RegionId): readonly Peer[] {
    const all = alive();
    const found =
      aliveByRegion.get(region) ?? all.filter(({ heartbeat }) => heartbeat.host.region === region);
    aliveByRegion.set(region, found);
    return found;
  }

  return {
    recordHeartbeat(heartbeat) {
      heartbeatCount += 1;
      const { id } = heartbeat.host;
      const nowMs = clock.monotonicMs();
      const known = peers.get(id);
      const restarted =
        known !== undefined && known.heartbeat.incarnation !== heartbeat.incarnation;
      const isLate =
        !restarted && known !== undefined && heartbeat.sentAtMs < known.heartbeat.sentAtMs;
      if (isLate || earlierIncarnations.get(id) === heartbeat.incarnation) {
        return;
      }
      if (restarted) {
        earlierIncarnations.set(id, known.heartbeat.incarnation);
      }
      const sampleMs =
        heartbeat.echo === undefined
          ? undefined
          : nowMs - heartbeat.echo.sentAtMs - heartbeat.echo.heldMs;
      const previousMs = known?.roundTripMs;
      const roundTripMs =
        sampleMs === undefined || sampleMs < 0
          ? previousMs
          : sampleMs * ROUND_TRIP_WEIGHT + (previousMs ?? sampleMs) * (1 - ROUND_TRIP_WEIGHT);
      if (known === undefined || restarted || unresponsive.delete(id)) {
        log.info('peer-reachable', { hostId: id, state: heartbeat.state, restarted });
      }
      peers.set(id, { heartbeat, lastHeartbeatAtMs: nowMs, roundTripMs });
      if (known === undefined || restarted) {
        hostList = undefined;
      }
      if (known === undefined) {
        updateTimeouts();
      }
      listedAtMs = -Infinity;
    },
    alive,
    aliveIn,
    known: () => [...peers.values()],
    knownHosts() {
      hostList ??= [...peers.values()].map(({ heartbeat }) => heartbeat.host);
      return hostList;
    },
    echoFor(id) {
      const peer = peers.get(id);
      return peer === undefined
        ? undefined
        : {
            sentAtMs: peer.heartbeat.sentAtMs,
            heldMs: clock.monotonicMs() - peer.lastHeartbeatAtMs,
          };
    },
  };
}

import type { Clock, HostId, LogSink, RegionId } from '@camphorbarrow/core';
import type { HeartbeatEcho, PeerHeartbeat } from './PeerHeartbeat.js';

/** Hosts that were silent for longer get no requests and are not named to callers. */
export const PEER_TIMEOUT_MS = 2_500;
/** Silent hosts are forgotten after this time. */
const PEER_FORGET_MS = 60_000;
/** Age of the list of peers that were heard lately from which it is made again. */
const ALIVE_LIST_MAX_AGE_MS = 50;
/** Weight of a new sample in the smoothed round-trip time. */
const ROUND_TRIP_WEIGHT = 0.2;

export interface Peer {
  readonly heartbeat: PeerHeartbeat;
  /** Monotonic time of arrival of the newest heartbeat. */
  readonly lastHeartbeatAtMs: number;
  /** Smoothed time to the peer and back; undefined before the first echo. */
  readonly roundTripMs: number | undefined;
}

export interface PeerRegistry {
  recordHeartbeat(heartbeat: PeerHeartbeat): void;
  /** Peers heard lately, in any state. The same array as before as long as nothing was heard. */
  alive(): readonly Peer[];
  aliveIn(region: RegionId): readonly Peer[];
  /** Every peer ever heard that is not forgotten, to send heartbeats to. */
  known(): readonly Peer[];
  echoFor(id: HostId): HeartbeatEcho | undefined;
}

/** Creates the record of the other entry hosts, kept from their heartbeats. */
export function createPeerRegistry(clock: Clock, log: LogSink): PeerRegistry {
  const peers = new Map<HostId, Peer>();
  const silent = new Set<HostId>();
  let listedAtMs = -Infinity;
  let aliveList: readonly Peer[] = [];
  let aliveByRegion = new Map<RegionId, readonly Peer[]>();

  function isAlive(peer: Peer): boolean {
    return clock.monotonicMs() - peer.lastHeartbeatAtMs <= PEER_TIMEOUT_MS;
  }

  function noteSilence(): void {
    const nowMs = clock.monotonicMs();
    peers.forEach((peer, id) => {
      if (nowMs - peer.lastHeartbeatAtMs > PEER_FORGET_MS) {
        peers.delete(id);
        silent.delete(id);
      } else if (!isAlive(peer) && !silent.has(id)) {
        silent.add(id);
        log.warn('peer-silent', {
          hostId: id,
          silentMs: Math.round(nowMs - peer.lastHeartbeatAtMs),
        });
      }
    });
  }

  function alive(): readonly Peer[] {
    const nowMs = clock.monotonicMs();
    if (nowMs - listedAtMs > ALIVE_LIST_MAX_AGE_MS) {
      noteSilence();
      listedAtMs = nowMs;
      aliveList = [...peers.values()].filter(isAlive);
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
      const { id } = heartbeat.host;
      const nowMs = clock.monotonicMs();
      const known = peers.get(id);
      const restarted =
        known !== undefined && known.heartbeat.incarnation !== heartbeat.incarnation;
      if (known !== undefined && !restarted && heartbeat.sentAtMs < known.heartbeat.sentAtMs) {
        return;
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
      if (known === undefined || restarted || silent.delete(id)) {
        log.info('peer-heard', { hostId: id, state: heartbeat.state, restarted });
      }
      peers.set(id, { heartbeat, lastHeartbeatAtMs: nowMs, roundTripMs });
      listedAtMs = -Infinity;
    },
    alive,
    aliveIn,
    known: () => [...peers.values()],
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

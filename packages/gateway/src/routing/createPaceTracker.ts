import type { Clock, ServerId } from '@camphorbarrow/core';
import { createPeerTotals } from '../peers/createPeerTotals.js';
import type { PeerHeartbeat } from '../peers/PeerHeartbeat.js';

/** Time between events of a stream on an engine without prefill work. */
const IDLE_MS_PER_EVENT = 35;
/** Weight of a new gap in the moving average of the pace. */
const GAP_WEIGHT = 0.05;
/** Time constant of the exponential decay of a pace to the idle one without observations. */
const PACE_DECAY_MS = 2_000;
/** Maximum age of a pace that is reported to peers; slow streams have gaps of this length. */
const REPORT_MAX_AGE_MS = 500;

/** Tracks the pace of each engine: the time between events of a stream, which prefills extend. */
export interface PaceTracker {
  /** Records the time between two events of a stream of this host. */
  recordEventGap(server: ServerId, gapMs: number): void;
  /** Average pace observed by the hosts of this region. */
  msPerEvent(server: ServerId): number;
  /** Paces recently observed by this host, in ms, for heartbeats. */
  ownPaces(): ReadonlyMap<ServerId, number>;
  /** Drops the paces of all other servers. */
  retain(servers: ReadonlySet<ServerId>): void;
}

interface PeerPaces {
  readonly heartbeat: Pick<PeerHeartbeat, 'paces'>;
}

interface PaceTotal {
  readonly sumMs: number;
  readonly count: number;
}

/**
 * Creates a tracker. Hosts of a large region exchange their paces because each has few streams on an
 * engine, and a host without any would take a busy engine for an idle one. `peers` returns the other
 * hosts of the region, in the same array until one of them reports again.
 */
export function createPaceTracker(clock: Clock, peers: () => readonly PeerPaces[]): PaceTracker {
  const observed = new Map<ServerId, { msPerEvent: number; atMs: number }>();
  const totals = new Map<ServerId, PaceTotal>();
  const updateTotals = createPeerTotals<PeerPaces['heartbeat']>(peers, (heartbeat, change) =>
    heartbeat.paces.forEach((paceMs, server) => {
      const { sumMs, count } = totals.get(server) ?? { sumMs: 0, count: 0 };
      if (count + change === 0) {
        totals.delete(server);
      } else {
        totals.set(server, { sumMs: sumMs + change * paceMs, count: count + change });
      }
    }),
  );

  function ownPace(server: ServerId): number {
    const pace = observed.get(server);
    if (pace === undefined) {
      return IDLE_MS_PER_EVENT;
    }
    const decay = Math.exp((pace.atMs - clock.monotonicMs()) / PACE_DECAY_MS);
    return IDLE_MS_PER_EVENT + (pace.msPerEvent - IDLE_MS_PER_EVENT) * decay;
  }

  const isFresh = (server: ServerId): boolean =>
    clock.monotonicMs() - (observed.get(server)?.atMs ?? -Infinity) <= REPORT_MAX_AGE_MS;

  return {
    recordEventGap(server, gapMs) {
      const current = ownPace(server);
      observed.set(server, {
        msPerEvent: current + GAP_WEIGHT * (gapMs - current),
        atMs: clock.monotonicMs(),
      });
    },
    msPerEvent(server) {
      updateTotals();
      const total = totals.get(server);
      if (total === undefined) {
        return ownPace(server);
      }
      const { sumMs, count } = total;
      return isFresh(server) ? (sumMs + ownPace(server)) / (count + 1) : sumMs / count;
    },
    ownPaces: () =>
      new Map([...observed.keys()].filter(isFresh).map((server) => [server, ownPace(server)])),
    retain(servers) {
      [...observed.keys()]
        .filter((server) => !servers.has(server))
        .forEach((server) => observed.delete(server));
    },
  };
}

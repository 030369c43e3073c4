import type { Clock, ServerId } from '@camphorbarrow/core';
import { createPeerTotals } from '../peers/createPeerTotals.js';
import type { PeerHeartbeat } from '../peers/PeerHeartbeat.js';

/** Time between events of a stream on an engine without prefill work. */
const IDLE_MS_PER_EVENT = 35;
/** Minimum weight of a new gap in the moving average of the pace. */
const MIN_GAP_WEIGHT = 0.05;
/** Time constant of the moving average of the pace on an engine with few streams. */
const PACE_AVERAGE_MS = 1_000;
/** Time constant of the exponential decay of a pace that is not fresh to the idle one. */
const PACE_DECAY_MS = 2_000;
/** Age up to which a pace is fresh and reported to peers; slow streams have gaps of this length. */
const FRESH_MAX_AGE_MS = 500;

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
 * Weight of a gap. The fewer streams a host has on an engine, the fewer gaps it observes; with a
 * fixed weight, it would notice a change the later, the more hosts share the engine.
 */
function gapWeight(gapMs: number, sinceLastGapMs: number): number {
  const spanMs = Math.min(gapMs, sinceLastGapMs);
  return Math.max(MIN_GAP_WEIGHT, 1 - Math.exp(-spanMs / PACE_AVERAGE_MS));
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
    // A pace that decayed between two gaps would be underestimated on engines with few streams.
    const staleMs = Math.max(0, clock.monotonicMs() - pace.atMs - FRESH_MAX_AGE_MS);
    const decay = Math.exp(-staleMs / PACE_DECAY_MS);
    return IDLE_MS_PER_EVENT + (pace.msPerEvent - IDLE_MS_PER_EVENT) * decay;
  }

  const isFresh = (server: ServerId): boolean =>
    clock.monotonicMs() - (observed.get(server)?.atMs ?? -Infinity) <= FRESH_MAX_AGE_MS;

  return {
    recordEventGap(server, gapMs) {
      const nowMs = clock.monotonicMs();
      const current = ownPace(server);
      // A first gap on its own may be a pause.
      const sinceLastGapMs = nowMs - (observed.get(server)?.atMs ?? nowMs);
      observed.set(server, {
        msPerEvent: current + gapWeight(gapMs, sinceLastGapMs) * (gapMs - current),
        atMs: nowMs,
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

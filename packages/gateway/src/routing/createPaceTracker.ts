import type { Clock, ServerId } from '@camphorbarrow/core';
import type { PeerHeartbeat } from '../peers/PeerHeartbeat.js';

/** Time between events of an engine that reads no prompts. */
const IDLE_MS_PER_EVENT = 35;
const GAP_WEIGHT = 0.05;
/** Time after which a pace that nobody observed has fallen by two thirds towards the idle one. */
const PACE_MEMORY_MS = 2_000;
/** A pace that was observed longer ago is not told to other hosts; a slow stream pauses as long. */
const TOLD_MAX_AGE_MS = 500;

/** Time between events of one stream at each engine; it grows with the prompts read meanwhile. */
export interface PaceTracker {
  /** An event of a stream of this host came this long after the one before it. */
  recordEventGap(server: ServerId, gapMs: number): void;
  /** What this host and the others of its region observe, in ms. */
  msPerEvent(server: ServerId): number;
  /** What this host observed just now, for heartbeats. */
  ownPaces(): ReadonlyMap<ServerId, number>;
  retain(servers: ReadonlySet<ServerId>): void;
}

interface PaceTeller {
  readonly heartbeat: Pick<PeerHeartbeat, 'paces'>;
}

interface Told {
  readonly sumMs: number;
  readonly count: number;
}

/**
 * Creates the paces of engines. Among many hosts each has few streams at an engine, so that they
 * tell each other: one that had none there would take a busy engine for an idle one. `tellers` are
 * the other hosts of the region.
 */
export function createPaceTracker(clock: Clock, tellers: () => readonly PaceTeller[]): PaceTracker {
  const observed = new Map<ServerId, { msPerEvent: number; atMs: number }>();
  let summed: readonly PaceTeller[] = [];
  let told = new Map<ServerId, Told>();

  function ownPace(server: ServerId): number {
    const pace = observed.get(server);
    if (pace === undefined) {
      return IDLE_MS_PER_EVENT;
    }
    const kept = Math.exp((pace.atMs - clock.monotonicMs()) / PACE_MEMORY_MS);
    return IDLE_MS_PER_EVENT + (pace.msPerEvent - IDLE_MS_PER_EVENT) * kept;
  }

  const isFresh = (server: ServerId): boolean =>
    clock.monotonicMs() - (observed.get(server)?.atMs ?? -Infinity) <= TOLD_MAX_AGE_MS;

  function toldOf(server: ServerId): Told {
    const current = tellers();
    if (current !== summed) {
      summed = current;
      told = new Map();
      current.forEach(({ heartbeat }) =>
        heartbeat.paces.forEach((paceMs, id) => {
          const { sumMs, count } = told.get(id) ?? { sumMs: 0, count: 0 };
          told.set(id, { sumMs: sumMs + paceMs, count: count + 1 });
        }),
      );
    }
    return told.get(server) ?? { sumMs: 0, count: 0 };
  }

  return {
    recordEventGap(server, gapMs) {
      const current = ownPace(server);
      observed.set(server, {
        msPerEvent: current + GAP_WEIGHT * (gapMs - current),
        atMs: clock.monotonicMs(),
      });
    },
    msPerEvent(server) {
      const { sumMs, count } = toldOf(server);
      if (count === 0) {
        return ownPace(server);
      }
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

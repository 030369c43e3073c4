import type { Clock, ServerId } from '@camphorbarrow/core';
import { createPeerTotals } from '../peers/createPeerTotals.js';
import type { PeerHeartbeat } from '../peers/PeerHeartbeat.js';

/** Time constant of the exponential decay of outcomes; servers fail part of requests for seconds. */
const DECAY_MS = 4_000;
/** Number of outcomes by which a server counts as its service does, before its own weigh more. */
const PRIOR_COUNT = 2;
/** Differences between servers, relative to those by chance, that still count as chance. */
const CHANCE_RATIO = 1.5;
/** Outcomes below this are forgotten. */
const MIN_COUNT = 0.1;

/** Recent outcomes of requests at one server, which count less with their age. */
export interface ServerOutcomes {
  readonly count: number;
  readonly failures: number;
}

/** Tracks which part of the requests each server fails, by the outcomes at all hosts of the region. */
export interface OutcomeTracker {
  record(server: ServerId, hasFailed: boolean): void;
  /**
   * Expected part of failed requests at each of these servers of one service, in excess of the server
   * that fails least; empty while they do not differ by more than chance.
   */
  excessFailureRatios(servers: readonly ServerId[]): ReadonlyMap<ServerId, number>;
  /** Outcomes at this host, of servers that fail requests and those compared with them, for heartbeats. */
  ownOutcomes(): ReadonlyMap<ServerId, ServerOutcomes>;
  /** Drops the outcomes of all other servers. */
  retain(servers: ReadonlySet<ServerId>): void;
}

interface PeerOutcomes {
  readonly heartbeat: Pick<PeerHeartbeat, 'outcomes'>;
}

const NONE: ServerOutcomes = { count: 0, failures: 0 };
const NO_RATIOS: ReadonlyMap<ServerId, number> = new Map();

/** Part of the requests that fail at all these servers together. */
function usualRatio(outcomes: readonly ServerOutcomes[]): number {
  const count = outcomes.reduce((sum, each) => sum + each.count, 0);
  const failures = outcomes.reduce((sum, each) => sum + each.failures, 0);
  return failures / Math.max(1, count);
}

/**
 * Part of the differences between the servers that is not due to chance (Stein's shrinkage): few
 * requests run at each server, and while all of them fail alike, some look better by luck.
 */
function significantPart(outcomes: readonly ServerOutcomes[]): number {
  const usual = usualRatio(outcomes);
  const seen = outcomes.filter(({ count }) => count >= MIN_COUNT);
  if (usual <= 0 || usual >= 1 || seen.length < 2) {
    return 0;
  }
  const chiSquared = seen.reduce(
    (sum, { count, failures }) =>
      sum + (failures - count * usual) ** 2 / (count * usual * (1 - usual)),
    0,
  );
  return Math.max(0, 1 - (CHANCE_RATIO * (seen.length - 1)) / chiSquared);
}

/**
 * Creates a tracker. It answers servers that fail part of their requests while their readiness and
 * load look sound: each host of a region sees few requests at a server, so that it would learn of
 * the failures only when they have ended.
 *
 * @param peers other hosts of the region, in the same array until one of them reports again
 */
export function createOutcomeTracker(
  clock: Clock,
  peers: () => readonly PeerOutcomes[],
): OutcomeTracker {
  /** When a server was last compared with one that fails requests. */
  const comparedAtMs = new Map<ServerId, number>();
  const observed = new Map<ServerId, ServerOutcomes & { readonly atMs: number }>();
  const totals = new Map<ServerId, { count: number; failures: number; reporters: number }>();
  const updateTotals = createPeerTotals<PeerOutcomes['heartbeat']>(peers, (heartbeat, change) =>
    heartbeat.outcomes?.forEach(({ count, failures }, server) => {
      const total = totals.get(server) ?? { count: 0, failures: 0, reporters: 0 };
      totals.set(server, total);
      total.count += change * count;
      total.failures += change * failures;
      total.reporters += change;
      if (total.reporters === 0) {
        totals.delete(server);
      }
    }),
  );

  function ownOutcomesAt(server: ServerId): ServerOutcomes {
    const own = observed.get(server);
    if (own === undefined) {
      return NONE;
    }
    const decay = Math.exp((own.atMs - clock.monotonicMs()) / DECAY_MS);
    return { count: own.count * decay, failures: own.failures * decay };
  }

  function outcomesAt(server: ServerId): ServerOutcomes {
    const own = ownOutcomesAt(server);
    const total = totals.get(server) ?? NONE;
    return { count: own.count + total.count, failures: own.failures + total.failures };
  }

  return {
    record(server, hasFailed) {
      const { count, failures } = ownOutcomesAt(server);
      observed.set(server, {
        count: count + 1,
        failures: failures + (hasFailed ? 1 : 0),
        atMs: clock.monotonicMs(),
      });
    },
    excessFailureRatios(servers) {
      updateTotals();
      const outcomes = servers.map(outcomesAt);
      if (outcomes.reduce((sum, { failures }) => sum + failures, 0) < MIN_COUNT) {
        return NO_RATIOS;
      }
      const nowMs = clock.monotonicMs();
      servers.forEach((server) => comparedAtMs.set(server, nowMs));
      const differenceRatio = significantPart(outcomes);
      if (differenceRatio === 0) {
        return NO_RATIOS;
      }
      const usual = usualRatio(outcomes);
      const ratios = outcomes.map(
        ({ count, failures }) => (failures + PRIOR_COUNT * usual) / (count + PRIOR_COUNT),
      );
      const lowest = Math.min(...ratios);
      return new Map(
        servers.map((server, index) => [
          server,
          differenceRatio * ((ratios[index] ?? lowest) - lowest),
        ]),
      );
    },
    ownOutcomes() {
      const oldestMs = clock.monotonicMs() - DECAY_MS;
      const isReported = (server: ServerId, { count, failures }: ServerOutcomes): boolean =>
        count >= MIN_COUNT &&
        (failures >= MIN_COUNT || (comparedAtMs.get(server) ?? -Infinity) >= oldestMs);
      return new Map(
        [...observed.keys()]
          .map((server) => [server, ownOutcomesAt(server)] as const)
          .filter((row) => isReported(...row)),
      );
    },
    retain(servers) {
      [comparedAtMs, observed].forEach((map) =>
        [...map.keys()].filter((server) => !servers.has(server)).forEach((id) => map.delete(id)),
      );
    },
  };
}

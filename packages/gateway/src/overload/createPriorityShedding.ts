import type { Clock } from '@camphorbarrow/core';
import type { ServiceName } from '../model/ServiceName.js';

/**
 * Time constant of the averages: long enough for a few requests of each rank at a small host, and
 * short enough that shedding ends soon after the overload.
 */
const AVERAGING_MS = 1_000;
/** Shares of rejected requests below this are left to chance. */
const MIN_REJECTED_RATIO = 0.05;
/** Rejected share of a rank, relative to that of a more urgent one, up to which it is shed. */
const SHED_RATIO = 4;
/** Part of the requests of a rank that may be rejected for more urgent ones, so that none starves. */
const MAX_REJECTED_RATIO = 0.75;

/** Decides which requests are rejected for the sake of more urgent ones. */
export interface PriorityShedding {
  /** Whether a new request of this rank is rejected. */
  sheds(service: ServiceName, rank: number): boolean;
  /** Whether a considerable part of the requests of more urgent ranks is rejected. */
  rejectsMoreUrgent(service: ServiceName, rank: number): boolean;
  /** Records that a new request was sent on, or was rejected for overload. */
  record(service: ServiceName, rank: number, outcome: 'sent' | 'rejected'): void;
  /** Takes back the record of a request that was sent on at that time and rejected there. */
  retractSent(service: ServiceName, rank: number, sentAtMs: number): void;
  /** Part of the recent requests of the rank that was rejected. */
  rejectedRatio(service: ServiceName, rank: number): number;
}

interface Counts {
  requests: number;
  rejected: number;
  updatedAtMs: number;
}

const noCounts = { requests: 0, rejected: 0 };

/**
 * Creates the decision for one host. It answers sustained overload by requests of several ranks: a
 * less urgent kind with a longer target still fits its target when the queue is already too long
 * for the urgent one, so without this decision the urgent requests are the first to be rejected,
 * and the longer the others may wait, the more of the servers they get.
 *
 * A rank is rejected until its rejected share is a multiple of that of every more urgent rank, but
 * never more than three quarters of it. The counts are of this host alone: callers reach the hosts
 * of a region at random, so each sees the same mixture.
 */
export function createPriorityShedding(clock: Clock): PriorityShedding {
  const byService = new Map<ServiceName, Map<number, Counts>>();

  function decay(counts: Counts): Counts {
    const nowMs = clock.monotonicMs();
    const factor = Math.exp((counts.updatedAtMs - nowMs) / AVERAGING_MS);
    counts.requests *= factor;
    counts.rejected *= factor;
    counts.updatedAtMs = nowMs;
    return counts;
  }

  /** One more accepted request keeps the first rejection of a quiet rank from counting as all. */
  const ratioOf = (counts: Counts): number => {
    const { requests, rejected } = decay(counts);
    return rejected / (requests + 1);
  };

  function rejectedRatio(service: ServiceName, rank: number): number {
    const counts = byService.get(service)?.get(rank);
    return counts === undefined ? 0 : ratioOf(counts);
  }

  /**
   * Upper estimate of the rejected share, for its limit: one more request counts as rejected as often
   * as the limit allows. An accepted one would keep a rank with few requests below the limit for good.
   */
  function cautiousRejectedRatio(service: ServiceName, rank: number): number {
    const counts = byService.get(service)?.get(rank);
    const { requests, rejected } = counts === undefined ? noCounts : decay(counts);
    return (rejected + MAX_REJECTED_RATIO) / (requests + 1);
  }

  /** Highest rejected share of the more urgent ranks. */
  function urgentRatioOf(service: ServiceName, rank: number): number {
    const ranks = [...(byService.get(service) ?? [])];
    return Math.max(
      0,
      ...ranks.filter(([other]) => other < rank).map(([, counts]) => ratioOf(counts)),
    );
  }

  return {
    rejectedRatio,
    rejectsMoreUrgent: (service, rank) => urgentRatioOf(service, rank) > MIN_REJECTED_RATIO,
    sheds(service, rank) {
      const urgentRatio = urgentRatioOf(service, rank);
      return (
        urgentRatio > MIN_REJECTED_RATIO &&
        cautiousRejectedRatio(service, rank) <
          Math.min(MAX_REJECTED_RATIO, urgentRatio * SHED_RATIO)
      );
    },
    retractSent(service, rank, sentAtMs) {
      const counts = byService.get(service)?.get(rank);
      if (counts !== undefined) {
        const rest = Math.exp((sentAtMs - clock.monotonicMs()) / AVERAGING_MS);
        counts.requests = Math.max(0, decay(counts).requests - rest);
      }
    },
    record(service, rank, outcome) {
      const ranks = byService.get(service) ?? new Map<number, Counts>();
      byService.set(service, ranks);
      const counts = ranks.get(rank) ?? {
        requests: 0,
        rejected: 0,
        updatedAtMs: clock.monotonicMs(),
      };
      ranks.set(rank, counts);
      decay(counts);
      counts.requests += 1;
      counts.rejected += outcome === 'rejected' ? 1 : 0;
    },
  };
}

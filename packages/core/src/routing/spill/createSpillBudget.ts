import type { RegionId } from '../../ids/RegionId.js';
import type { RegionView } from './RegionView.js';

export interface SpillBudgetRequest {
  readonly view: RegionView;
  readonly nowMs: number;
  /**
   * Number of entry hosts outside the region that may forward requests to it, including this one.
   */
  readonly senderCount: number;
  /** Whether no server of the own region can serve the request. */
  readonly localUnavailable: boolean;
}

export interface SpillBudget {
  /** Takes a bucket token to forward one request; false when this host's share is used up. */
  tryAcquire(request: SpillBudgetRequest): boolean;
  /** Returns the bucket token of a forwarded request that has ended. */
  release(regionId: RegionId): void;
}

interface Bucket {
  tokens: number;
  refilledAtMs: number;
}

/** Approximate time within which heartbeats report a change of load to the other entry hosts. */
const LOAD_FEEDBACK_MS = 1_000;
/**
 * Share of a region's free capacity that all other regions together may use within
 * `LOAD_FEEDBACK_MS`. The first such interval allows twice this share: once from the full buckets
 * and once from their refill.
 */
const FREE_CAPACITY_RATIO = 0.5;
/**
 * Share of a region's capacity that may be used even when the region is busy, if the alternative is
 * to reject the request.
 */
const MIN_CAPACITY_RATIO = 0.25;

/**
 * Creates the limit on the requests that one entry host forwards to each region, with a token
 * bucket by region. A request returns its token when it ends, because short requests occupy little
 * capacity at any time.
 */
export function createSpillBudget(): SpillBudget {
  const buckets = new Map<RegionId, Bucket>();

  function allowance({ view, senderCount, localUnavailable }: SpillBudgetRequest): number {
    const { capacity, inUse } = view.load ?? { capacity: 0, inUse: 0 };
    const freeSlots = Math.max(0, capacity - inUse);
    const usable = localUnavailable
      ? Math.max(freeSlots, capacity * MIN_CAPACITY_RATIO)
      : freeSlots * FREE_CAPACITY_RATIO;
    return usable / Math.max(1, senderCount);
  }

  return {
    tryAcquire(request) {
      const refillTokens = allowance(request);
      const { regionId } = request.view;
      const bucketSize = Math.max(1, refillTokens);
      const bucket = buckets.get(regionId) ?? { tokens: bucketSize, refilledAtMs: request.nowMs };
      const elapsedMs = Math.max(0, request.nowMs - bucket.refilledAtMs);
      bucket.tokens = Math.min(
        bucketSize,
        bucket.tokens + (elapsedMs / LOAD_FEEDBACK_MS) * refillTokens,
      );
      bucket.refilledAtMs = request.nowMs;
      buckets.set(regionId, bucket);
      if (refillTokens <= 0 || bucket.tokens < 1) {
        return false;
      }
      bucket.tokens -= 1;
      return true;
    },
    release(regionId) {
      const bucket = buckets.get(regionId);
      if (bucket !== undefined) {
        // The next `tryAcquire` caps the tokens at the bucket size of that time.
        bucket.tokens += 1;
      }
    },
  };
}

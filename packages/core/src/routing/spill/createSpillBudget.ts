import type { RegionId } from '../../ids/RegionId.js';
import type { RegionView } from './RegionView.js';

export interface SpillBudgetRequest {
  readonly view: RegionView;
  readonly nowMs: number;
  /** Entry hosts outside the region that may all send work there, this one included. */
  readonly senderCount: number;
  /** No server of the own region can take the request. */
  readonly localUnavailable: boolean;
}

export interface SpillBudget {
  /** Takes the right to forward one request; false when this host's share is used up. */
  tryAcquire(request: SpillBudgetRequest): boolean;
  /** A forwarded request has ended; its place in the region is free again. */
  release(regionId: RegionId): void;
}

interface Bucket {
  tokens: number;
  filledAtMs: number;
}

/** Heartbeats carry a change of load to the other hosts within about this time. */
const FEEDBACK_MS = 1_000;
/**
 * Share of the free places that all other regions together may fill within `FEEDBACK_MS`. The first
 * such interval allows it twice, once from the full buckets and once from their refill.
 */
const FREE_RATIO = 0.5;
/** When the alternative is a refusal, a busy region may still be asked at this share. */
const MIN_CAPACITY_RATIO = 0.25;

/**
 * Creates the limit on the work that one entry host sends to each region (token buckets). A request
 * gives its token back at its end: many short requests hold few places.
 */
export function createSpillBudget(): SpillBudget {
  const buckets = new Map<RegionId, Bucket>();

  function allowance({ view, senderCount, localUnavailable }: SpillBudgetRequest): number {
    const { capacity, inUse } = view.load ?? { capacity: 0, inUse: 0 };
    const free = Math.max(0, capacity - inUse);
    const usable = localUnavailable
      ? Math.max(free, capacity * MIN_CAPACITY_RATIO)
      : free * FREE_RATIO;
    return usable / Math.max(1, senderCount);
  }

  return {
    tryAcquire(request) {
      const perFeedback = allowance(request);
      const { regionId } = request.view;
      const limit = Math.max(1, perFeedback);
      const bucket = buckets.get(regionId) ?? { tokens: limit, filledAtMs: request.nowMs };
      const elapsedMs = Math.max(0, request.nowMs - bucket.filledAtMs);
      bucket.tokens = Math.min(limit, bucket.tokens + (elapsedMs / FEEDBACK_MS) * perFeedback);
      bucket.filledAtMs = request.nowMs;
      buckets.set(regionId, bucket);
      if (perFeedback <= 0 || bucket.tokens < 1) {
        return false;
      }
      bucket.tokens -= 1;
      return true;
    },
    release(regionId) {
      const bucket = buckets.get(regionId);
      if (bucket !== undefined) {
        // The next `take` cuts the sum down to the limit that holds then.
        bucket.tokens += 1;
      }
    },
  };
}

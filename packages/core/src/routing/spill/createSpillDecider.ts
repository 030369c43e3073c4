import type { RegionId } from '../../ids/RegionId.js';
import type { InferenceRequest } from '../../requests/InferenceRequest.js';
import type { RegionView } from './RegionView.js';
import type { LocalEstimate, SpillPolicy } from './SpillPolicy.js';
import { createSpillBudget } from './createSpillBudget.js';

export interface SpillDeciderOptions {
  readonly policy: SpillPolicy;
  readonly regions: () => readonly RegionView[];
  /** Number of entry hosts of the whole fleet, including this one. */
  readonly fleetHostCount: () => number;
}

export interface SpillDecisionInput {
  readonly request: InferenceRequest;
  readonly nowMs: number;
  readonly local: LocalEstimate;
  /** Regions already tried for this request. */
  readonly tried: ReadonlySet<RegionId>;
}

export interface SpillDecider {
  /** Chooses the region that should serve the request; undefined for the own region. */
  decide(decision: SpillDecisionInput): RegionView | undefined;
  /**
   * Records that a region rejected a request or was unreachable; it is skipped during a backoff.
   */
  recordRejection(regionId: RegionId, model: string, nowMs: number): void;
  /** Records that a request forwarded after `decide` has ended, successfully or not. */
  recordEnd(regionId: RegionId): void;
  /** Whether this entry host has recently forwarded requests to another region. */
  isSpilling(nowMs: number): boolean;
}

/**
 * Time after a forwarded request during which its region keeps the lower threshold and this entry
 * host counts as spilling.
 */
const RECENT_SPILL_MS = 3_000;
const REJECTION_BACKOFF_MS = 2_000;
const MAX_BACKOFFS = 1_024;

/**
 * Creates the decider, which applies the policy and tracks recent spills, rejections and the
 * budget.
 */
export function createSpillDecider(options: SpillDeciderOptions): SpillDecider {
  const budget = createSpillBudget();
  const spilledAtMs = new Map<RegionId, number>();
  const backoffUntilMs = new Map<string, number>();
  const backoffKey = (regionId: RegionId, model: string): string => `${regionId} ${model}`;

  const spilledRecently = (regionId: RegionId, nowMs: number): boolean =>
    nowMs - (spilledAtMs.get(regionId) ?? -Infinity) < RECENT_SPILL_MS;

  return {
    decide({ request, nowMs, local, tried }) {
      // Requests with a home region and forwarded requests stay, whatever the policy chooses.
      if (request.homeRegionId !== undefined || request.path.length > 0) {
        return undefined;
      }
      if (!request.settings.routing.spillEnabled) {
        return undefined;
      }
      const regions = options
        .regions()
        .filter(
          ({ regionId }) =>
            !tried.has(regionId) &&
            !((backoffUntilMs.get(backoffKey(regionId, request.model)) ?? 0) > nowMs),
        );
      const regionId = options.policy({
        request,
        nowMs,
        local,
        regions,
        isSpillingTo: (id) => spilledRecently(id, nowMs),
      });
      const view = regions.find((candidate) => candidate.regionId === regionId);
      if (view === undefined) {
        return undefined;
      }
      const senderCount = options.fleetHostCount() - view.peerUrls.length;
      const localUnavailable = local.firstTokenMs === Infinity;
      if (!budget.tryAcquire({ view, nowMs, senderCount, localUnavailable })) {
        return undefined;
      }
      spilledAtMs.set(view.regionId, nowMs);
      return view;
    },
    recordRejection(regionId, model, nowMs) {
      const key = backoffKey(regionId, model);
      backoffUntilMs.delete(key);
      backoffUntilMs.set(key, nowMs + REJECTION_BACKOFF_MS);
      const [oldest] = backoffUntilMs.keys();
      if (backoffUntilMs.size > MAX_BACKOFFS && oldest !== undefined) {
        backoffUntilMs.delete(oldest);
      }
    },
    recordEnd: (regionId) => budget.release(regionId),
    isSpilling: (nowMs) => [...spilledAtMs.keys()].some((id) => spilledRecently(id, nowMs)),
  };
}

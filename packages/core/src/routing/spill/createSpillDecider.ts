import type { RegionId } from '../../ids/RegionId.js';
import type { InferenceRequest } from '../../requests/InferenceRequest.js';
import type { RegionView } from './RegionView.js';
import type { LocalEstimate, SpillPolicy } from './SpillPolicy.js';
import { createSpillBudget } from './createSpillBudget.js';

export interface SpillDeciderOptions {
  readonly policy: SpillPolicy;
  readonly regions: () => readonly RegionView[];
  /** Entry hosts of the whole fleet, this one included. */
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
  /** The region that should serve the request; undefined for the own one. */
  decide(decision: SpillDecisionInput): RegionView | undefined;
  /** A region refused a forwarded request or was not reached; it is left alone for a while. */
  recordRefusal(regionId: RegionId, model: string, nowMs: number): void;
  /** A request that `decide` sent to the region has ended, in any way. */
  recordEnd(regionId: RegionId): void;
  /** Whether this host has sent work to another region recently. */
  isSpilling(nowMs: number): boolean;
}

/** A region that received work keeps the lower threshold, and the host counts as spilling. */
const RECENT_SPILL_MS = 3_000;
const REFUSAL_PAUSE_MS = 2_000;
const MAX_PAUSES = 1_024;

/** Creates the decision on other regions with its memory: recent spills, refusals and shares. */
export function createSpillDecider(options: SpillDeciderOptions): SpillDecider {
  const budget = createSpillBudget();
  const spilledAtMs = new Map<RegionId, number>();
  const pausedUntilMs = new Map<string, number>();
  const pauseKey = (regionId: RegionId, model: string): string => `${regionId} ${model}`;

  const spilledRecently = (regionId: RegionId, nowMs: number): boolean =>
    nowMs - (spilledAtMs.get(regionId) ?? -Infinity) < RECENT_SPILL_MS;

  return {
    decide({ request, nowMs, local, tried }) {
      // Checked here too, so that no policy can send such a request away.
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
            !((pausedUntilMs.get(pauseKey(regionId, request.model)) ?? 0) > nowMs),
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
    recordRefusal(regionId, model, nowMs) {
      const key = pauseKey(regionId, model);
      pausedUntilMs.delete(key);
      pausedUntilMs.set(key, nowMs + REFUSAL_PAUSE_MS);
      const [oldest] = pausedUntilMs.keys();
      if (pausedUntilMs.size > MAX_PAUSES && oldest !== undefined) {
        pausedUntilMs.delete(oldest);
      }
    },
    recordEnd: (regionId) => budget.release(regionId),
    isSpilling: (nowMs) => [...spilledAtMs.keys()].some((id) => spilledRecently(id, nowMs)),
  };
}

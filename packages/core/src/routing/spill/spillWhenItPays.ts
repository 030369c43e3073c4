import type { RegionView } from './RegionView.js';
import type { SpillPolicyInput, SpillPolicy } from './SpillPolicy.js';
import { forwardingMs } from './forwardingMs.js';

/** Three heartbeats; an older summary says nothing of the present load. */
const MAX_SUMMARY_AGE_MS = 3_000;
/** While work goes to a region, this share of the minimum gain is enough to continue. */
const CONTINUE_RATIO = 0.5;
const MIN_ROUND_TRIP_MS = 1;

/** Estimated first token in another region; infinite when the region must not be used. */
function remoteFirstTokenMs(view: RegionView, facts: SpillPolicyInput): number {
  const { load, roundTripMs } = view;
  // Without a server of the own region the alternative is a refusal, and a busy region refuses too.
  const isLocalUnavailable = facts.local.firstTokenMs === Infinity;
  const isStale = !isLocalUnavailable && !(view.loadAgeMs <= MAX_SUMMARY_AGE_MS);
  if (load === undefined || load.spilling || load.capacity <= 0 || isStale) {
    return Infinity;
  }
  if (roundTripMs === undefined || view.peerUrls.length === 0) {
    return Infinity;
  }
  const delayMs = Math.max(MIN_ROUND_TRIP_MS, roundTripMs);
  const { uncachedPrefillMs } = facts.local;
  // The other region is not expected to hold any prefix of the prompt.
  return (
    load.firstTokenWaitMs +
    uncachedPrefillMs +
    forwardingMs(delayMs, Buffer.byteLength(facts.request.body))
  );
}

/**
 * Sends a request to the region with the earliest expected first token when that is earlier than
 * in the own region by `routing.spillMinimumGainMs`. A request bound to a home region stays.
 */
export const spillWhenItPays: SpillPolicy = (facts) => {
  const { request, local } = facts;
  if (request.homeRegionId !== undefined || request.path.length > 0) {
    return undefined;
  }
  const remainingMs = request.deadlineAtMs - facts.nowMs;
  const { spillEnabled, spillMinimumGainMs } = request.settings.routing;
  if (!spillEnabled) {
    return undefined;
  }
  const worthwhile = facts.regions
    .map((view) => ({ regionId: view.regionId, firstTokenMs: remoteFirstTokenMs(view, facts) }))
    .filter(({ regionId, firstTokenMs }) => {
      const ratio = facts.isSpillingTo(regionId) ? CONTINUE_RATIO : 1;
      const gainMs = local.firstTokenMs - firstTokenMs;
      return firstTokenMs < remainingMs && gainMs > spillMinimumGainMs * ratio;
    })
    .sort((a, b) => a.firstTokenMs - b.firstTokenMs);
  return worthwhile[0]?.regionId;
};

import type { RegionView } from './RegionView.js';
import type { SpillPolicyInput, SpillPolicy } from './SpillPolicy.js';
import { forwardingMs } from './forwardingMs.js';

/** Three heartbeat intervals; an older summary does not reflect the current load. */
const MAX_SUMMARY_AGE_MS = 3_000;
/**
 * Share of the minimum gain that is enough for a region that already receives requests
 * (hysteresis).
 */
const CONTINUE_GAIN_RATIO = 0.5;
const MIN_ROUND_TRIP_MS = 1;

/** Estimated time to the first token in another region; infinite when it must not be used. */
function remoteFirstTokenMs(view: RegionView, input: SpillPolicyInput): number {
  const { load, roundTripMs } = view;
  // Without a local server the alternative is a rejection, so a stale summary does not exclude a
  // region; a region that is too busy rejects the request itself.
  const isLocalUnavailable = input.local.firstTokenMs === Infinity;
  const isStale = !isLocalUnavailable && !(view.loadAgeMs <= MAX_SUMMARY_AGE_MS);
  if (load === undefined || load.spilling || load.capacity <= 0 || isStale) {
    return Infinity;
  }
  if (roundTripMs === undefined || view.peerUrls.length === 0) {
    return Infinity;
  }
  const delayMs = Math.max(MIN_ROUND_TRIP_MS, roundTripMs);
  const { uncachedPrefillMs } = input.local;
  // The other region is assumed to have no prefix of the prompt in its caches.
  return (
    load.firstTokenWaitMs +
    uncachedPrefillMs +
    forwardingMs(delayMs, Buffer.byteLength(input.request.body))
  );
}

/**
 * Chooses the region with the shortest estimated time to the first token when it gains more than
 * `routing.spillMinimumGainMs` over the own region. Requests with a home region and forwarded
 * requests stay.
 */
export const spillWhenItPays: SpillPolicy = (input) => {
  const { request, local } = input;
  if (request.homeRegionId !== undefined || request.path.length > 0) {
    return undefined;
  }
  const remainingMs = request.deadlineAtMs - input.nowMs;
  const { spillEnabled, spillMinimumGainMs } = request.settings.routing;
  if (!spillEnabled) {
    return undefined;
  }
  const candidates = input.regions
    .map((view) => ({ regionId: view.regionId, firstTokenMs: remoteFirstTokenMs(view, input) }))
    .filter(({ regionId, firstTokenMs }) => {
      const ratio = input.isSpillingTo(regionId) ? CONTINUE_GAIN_RATIO : 1;
      const gainMs = local.firstTokenMs - firstTokenMs;
      return firstTokenMs < remainingMs && gainMs > spillMinimumGainMs * ratio;
    })
    .sort((a, b) => a.firstTokenMs - b.firstTokenMs);
  return candidates[0]?.regionId;
};

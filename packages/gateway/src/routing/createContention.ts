import type { RegionId } from '@camphorbarrow/core';
import type { BoundRegions } from './createBoundRegions.js';
import type { RoutingRequest } from './Destination.js';

/** Slot usage from which requests that may run elsewhere leave a region. */
const CROWDED_USAGE_RATIO = 0.5;
/** Contribution to the score of a region all of whose slots are in use. */
const FULL_REGION_MS = 300;

/**
 * Returns the contribution to the score of a region whose slots the request would take from routes
 * that may run in few regions.
 */
export type Contention = (
  request: RoutingRequest,
  region: RegionId,
  slotUsageRatio: number,
) => number;

/**
 * Creates the function. It answers uneven demand for routes with home regions: their requests fill
 * the servers there and are rejected while the servers of a region that may not process them idle.
 * Requests of the other routes of the service therefore leave crowded home regions first. A request
 * that is bound itself, and one of a service without bound routes, contends with nobody.
 */
export function createContention(boundRegions: BoundRegions): Contention {
  return ({ route, service }, region, slotUsageRatio) => {
    if (route.homeRegions.length > 0 || !boundRegions(service.name).has(region)) {
      return 0;
    }
    const excessRatio = (slotUsageRatio - CROWDED_USAGE_RATIO) / (1 - CROWDED_USAGE_RATIO);
    return FULL_REGION_MS * Math.min(1, Math.max(0, excessRatio));
  };
}

import type { RegionLoad } from './RegionLoad.js';
import type { SpillChooser } from './SpillChooser.js';

const usage = ({ runningRequests, waitingRequests, maxConcurrentRequests }: RegionLoad): number =>
  (runningRequests + waitingRequests) / Math.max(1, maxConcurrentRequests);

/**
 * Baseline: as soon as the local servers report no free slot, chooses the least utilized other
 * region that reports one.
 */
export const spillWhenFull: SpillChooser = (_request, { local, otherRegions }) => {
  if (usage(local) < 1) {
    return undefined;
  }
  const best = otherRegions.reduce<RegionLoad | undefined>(
    (found, region) => (found === undefined || usage(region) < usage(found) ? region : found),
    undefined,
  );
  return best !== undefined && usage(best) < 1 ? best.regionId : undefined;
};

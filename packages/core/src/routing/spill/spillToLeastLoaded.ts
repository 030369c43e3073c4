import type { RegionView } from './RegionView.js';
import type { SpillPolicy } from './SpillPolicy.js';

function usageOf(view: RegionView): number {
  const { capacity, inUse } = view.load ?? { capacity: 0, inUse: 0 };
  return capacity === 0 ? Infinity : inUse / capacity;
}

/** Baseline: chooses the region with the lowest utilization, regardless of its distance. */
export const spillToLeastLoaded: SpillPolicy = ({ local, regions }) => {
  const ownUsage = local.capacity === 0 ? Infinity : local.inUse / local.capacity;
  const best = regions.reduce<RegionView | undefined>(
    (least, view) => (least === undefined || usageOf(view) < usageOf(least) ? view : least),
    undefined,
  );
  return best !== undefined && usageOf(best) < ownUsage ? best.regionId : undefined;
};

import type { RegionId } from '@camphorbarrow/core';
import type { RoutingTable } from '../model/RoutingTable.js';
import type { ServiceName } from '../model/ServiceName.js';

/** Home regions of the routes of each service. */
type RegionsByService = ReadonlyMap<ServiceName, ReadonlySet<RegionId>>;

/** Regions that some route of the service may not leave; empty if all routes may go anywhere. */
export type BoundRegions = (service: ServiceName) => ReadonlySet<RegionId>;

const NONE: ReadonlySet<RegionId> = new Set();

function collect({ routes }: RoutingTable): RegionsByService {
  const regions = new Map<ServiceName, Set<RegionId>>();
  routes
    .filter(({ homeRegions }) => homeRegions.length > 0)
    .forEach(({ targets, homeRegions }) =>
      targets.forEach(({ service }) => {
        const known = regions.get(service) ?? new Set();
        homeRegions.forEach((region) => known.add(region));
        regions.set(service, known);
      }),
    );
  return regions;
}

/** Creates a lookup that is computed once for each routing table. */
export function createBoundRegions(table: () => RoutingTable | undefined): BoundRegions {
  const cache = new WeakMap<RoutingTable, RegionsByService>();
  return (service) => {
    const current = table();
    if (current === undefined) {
      return NONE;
    }
    const regions = cache.get(current) ?? collect(current);
    cache.set(current, regions);
    return regions.get(service) ?? NONE;
  };
}

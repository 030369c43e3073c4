import type { RegionId } from '@camphorbarrow/core';
import type { HostRegistration } from '../model/HostRegistration.js';

/** Maximum number of addresses in one response of the directory. */
const MAX_ADDRESSES = 64;

export interface DirectoryQuery {
  /** Region of the caller. */
  readonly callerRegion: RegionId;
  /** Hosts in any region that currently accept callers' connections. */
  readonly readyHosts: readonly HostRegistration[];
  readonly ownRegion: RegionId;
  /** Home regions of each bound route, that is, each route that has any. */
  readonly homeRegions: readonly (readonly RegionId[])[];
}

/**
 * Chooses the entry hosts that a caller should use: those of its own region. If that region has
 * none, the hosts of the region that is a home region of the most bound routes, because requests of
 * those routes must not be sent to hosts elsewhere. Among equal regions, this host's own is
 * preferred.
 */
export function chooseDirectoryHosts(query: DirectoryQuery): readonly HostRegistration[] {
  const { readyHosts, callerRegion, ownRegion, homeRegions } = query;
  const countBoundRoutes = (candidate: RegionId): number =>
    homeRegions.filter((homes) => homes.includes(candidate)).length;
  const [bestRegion] = [...new Set(readyHosts.map((host) => host.region))].sort(
    (a, b) =>
      Number(b === callerRegion) - Number(a === callerRegion) ||
      countBoundRoutes(b) - countBoundRoutes(a) ||
      Number(b === ownRegion) - Number(a === ownRegion),
  );
  return readyHosts.filter((host) => host.region === bestRegion).slice(0, MAX_ADDRESSES);
}

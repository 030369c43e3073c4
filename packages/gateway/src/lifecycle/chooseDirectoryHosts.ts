import type { RegionId } from '@camphorbarrow/core';
import type { HostRegistration } from '../model/HostRegistration.js';

/** Addresses that one answer of the directory holds at the most. */
const MAX_ADDRESSES = 64;

export interface DirectoryQuery {
  /** Region of the caller. */
  readonly callerRegion: RegionId;
  /** Hosts that take callers' connections now, in any region. */
  readonly readyHosts: readonly HostRegistration[];
  readonly ownRegion: RegionId;
  /** Home regions of each route that has any. */
  readonly homeRegions: readonly (readonly RegionId[])[];
}

/**
 * The entry hosts that a caller should use: those of its own region. Without any there, the region
 * that is a home of most bound routes, because their requests may be sent to no host elsewhere; of
 * several such regions, this host's own.
 */
export function chooseDirectoryHosts(question: DirectoryQuery): readonly HostRegistration[] {
  const { readyHosts: ready, callerRegion: region, ownRegion, homeRegions } = question;
  const boundRoutesOf = (candidate: RegionId): number =>
    homeRegions.filter((homes) => homes.includes(candidate)).length;
  const [best] = [...new Set(ready.map((host) => host.region))].sort(
    (a, b) =>
      Number(b === region) - Number(a === region) ||
      boundRoutesOf(b) - boundRoutesOf(a) ||
      Number(b === ownRegion) - Number(a === ownRegion),
  );
  return ready.filter((host) => host.region === best).slice(0, MAX_ADDRESSES);
}

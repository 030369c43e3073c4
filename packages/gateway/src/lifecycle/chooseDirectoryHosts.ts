import type { RegionId } from '@camphorbarrow/core';
import type { HostRegistration } from '../model/HostRegistration.js';

/** Maximum number of addresses in one response of the directory. */
const MAX_ADDRESSES = 64;

export interface DirectoryQuery {
  /** Region of the caller. */
  readonly callerRegion: RegionId;
  /** Hosts in any region that currently accept callers' connections. */
  readonly readyHosts: readonly HostRegistration[];
  /** Hosts that are about to stop but still serve new requests. */
  readonly drainingHosts: readonly HostRegistration[];
  readonly ownRegion: RegionId;
  /** Home regions of each bound route, that is, each route that has any. */
  readonly homeRegions: readonly (readonly RegionId[])[];
}

/**
 * Chooses the entry hosts that a caller should use: those of its own region. If that region has
 * none, the hosts of the region that is a home region of the most bound routes. Among equal regions,
 * this host's own is preferred. Requests of bound routes must not be sent to hosts elsewhere, so
 * callers get draining hosts, or none, rather than those of a region that is no home.
 */
export function chooseDirectoryHosts(query: DirectoryQuery): readonly HostRegistration[] {
  const { callerRegion, ownRegion, homeRegions } = query;
  const countBoundRoutes = (candidate: RegionId): number =>
    homeRegions.filter((homes) => homes.includes(candidate)).length;
  const isPermitted = ({ region }: HostRegistration): boolean =>
    homeRegions.length === 0 || region === callerRegion || countBoundRoutes(region) > 0;

  function chooseAmong(hosts: readonly HostRegistration[]): readonly HostRegistration[] {
    const permitted = hosts.filter(isPermitted);
    const [bestRegion] = [...new Set(permitted.map(({ region }) => region))].sort(
      (a, b) =>
        Number(b === callerRegion) - Number(a === callerRegion) ||
        countBoundRoutes(b) - countBoundRoutes(a) ||
        Number(b === ownRegion) - Number(a === ownRegion),
    );
    return permitted.filter(({ region }) => region === bestRegion);
  }

  const ready = chooseAmong(query.readyHosts);
  return (ready.length > 0 ? ready : chooseAmong(query.drainingHosts)).slice(0, MAX_ADDRESSES);
}

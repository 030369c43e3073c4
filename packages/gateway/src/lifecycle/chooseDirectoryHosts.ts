import type { RegionId } from '@camphorbarrow/core';
import type { HostRegistration } from '../model/HostRegistration.js';
import { rendezvousWeight } from '../routing/rankByRendezvous.js';

/** Maximum number of addresses in one response of the directory. */
const MAX_ADDRESSES = 64;

/** Number of hosts that a caller gets if there are as many, so that it can do without some. */
const MIN_ADDRESSES = 8;
/** Upper bound of `rendezvousWeight`. */
const WEIGHT_RANGE = 2 ** 32;

export interface DirectoryQuery {
  /** Region of the caller. */
  readonly callerRegion: RegionId;
  /** Address of the caller, which gets the same hosts each time. */
  readonly callerAddress: string;
  /** Hosts in any region that currently accept callers' connections. */
  readonly readyHosts: readonly HostRegistration[];
  /** Hosts that are about to stop but still serve new requests. */
  readonly drainingHosts: readonly HostRegistration[];
  readonly ownRegion: RegionId;
  /** Home regions of each bound route, that is, each route that has any. */
  readonly homeRegions: readonly (readonly RegionId[])[];
}

/**
 * Lists a host for a caller with a probability in proportion to its cores: callers pick one of their
 * hosts at random, and a small host would be overloaded while large ones are idle. The choice depends
 * on the caller's address alone, so that it can keep its connections.
 */
function selectByCores(
  hosts: readonly HostRegistration[],
  callerAddress: string,
): readonly HostRegistration[] {
  // Hosts that do not tell count as the largest.
  const maxCores = Math.max(...hosts.map(({ cores }) => cores ?? 0)) || 1;
  const ranked = hosts
    .map((host) => ({
      host,
      rank:
        rendezvousWeight(callerAddress, host.id) /
        WEIGHT_RANGE /
        ((host.cores ?? maxCores) / maxCores),
    }))
    .sort((a, b) => a.rank - b.rank || (a.host.id < b.host.id ? -1 : 1));
  return ranked
    .filter(({ rank }, index) => index < MIN_ADDRESSES || rank < 1)
    .slice(0, MAX_ADDRESSES)
    .map(({ host }) => host);
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
  const chosen = ready.length > 0 ? ready : chooseAmong(query.drainingHosts);
  return selectByCores(chosen, query.callerAddress);
}

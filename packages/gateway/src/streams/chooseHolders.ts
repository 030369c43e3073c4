import type { RegionId } from '@camphorbarrow/core';
import type { HostRegistration } from '../model/HostRegistration.js';
import { rankByRendezvous, topByRendezvous } from '../routing/rankByRendezvous.js';

/** Regions in which the record of a stream is held; bounds its cost in a fleet of many regions. */
const MAX_REGIONS = 3;

/** Selects the regions in which the record of a stream is held, among those of all hosts. */
export const chooseRegions = (
  stream: string,
  regions: ReadonlySet<RegionId>,
): readonly RegionId[] => rankByRendezvous(stream, [...regions]).slice(0, MAX_REGIONS);

export type HostsByRegion = ReadonlyMap<RegionId, readonly HostRegistration[]>;

/** Groups hosts, whose ids must be unique. */
export function groupByRegion(hosts: readonly HostRegistration[]): HostsByRegion {
  const byRegion = new Map<RegionId, HostRegistration[]>();
  hosts.forEach((host) => {
    const ofRegion = byRegion.get(host.region) ?? [];
    ofRegion.push(host);
    byRegion.set(host.region, ofRegion);
  });
  return byRegion;
}

/**
 * Selects the holders as `chooseHolders` does, of hosts that are grouped already.
 *
 * @param isWanted whether holders in a region are selected; by default all
 */
export const chooseGroupedHolders = (
  stream: string,
  byRegion: HostsByRegion,
  hostsPerRegion: number,
  isWanted: (region: RegionId) => boolean = () => true,
): readonly HostRegistration[] =>
  chooseRegions(stream, new Set(byRegion.keys()))
    .filter(isWanted)
    .flatMap((region) =>
      topByRendezvous(stream, byRegion.get(region) ?? [], ({ id }) => id, hostsPerRegion),
    );

/**
 * Selects the hosts that hold the record of a stream, in several regions. All hosts that know the
 * same fleet select the same ones.
 */
export const chooseHolders = (
  stream: string,
  hosts: readonly HostRegistration[],
  hostsPerRegion: number,
): readonly HostRegistration[] =>
  chooseGroupedHolders(stream, groupByRegion(hosts), hostsPerRegion);

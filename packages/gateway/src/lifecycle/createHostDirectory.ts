import type { RegionId } from '@camphorbarrow/core';
import type { FleetView } from '../fleet/createFleetView.js';
import type { HostRegistration } from '../model/HostRegistration.js';
import type { PeerRegistry } from '../peers/createPeerRegistry.js';
import type { HostState } from '../peers/PeerHeartbeat.js';
import { chooseDirectoryHosts } from './chooseDirectoryHosts.js';

/** What a caller tells when it looks up hosts. */
export interface DirectoryCaller {
  /** Host name of the routes that the caller uses; all routes if absent or unknown. */
  readonly name?: string | undefined;
  /** IP address of the caller. */
  readonly address?: string | undefined;
}

/** Returns the hosts that a caller in the region should currently use. */
export type HostDirectory = (
  region: RegionId,
  caller?: DirectoryCaller,
) => readonly HostRegistration[];

export interface HostDirectoryOptions {
  readonly own: HostRegistration;
  readonly peers: Pick<PeerRegistry, 'alive'>;
  readonly view: Pick<FleetView, 'table'>;
  readonly currentState: () => HostState;
}

/** Creates the directory of this host and its peers. */
export function createHostDirectory(options: HostDirectoryOptions): HostDirectory {
  const { own, peers, view, currentState } = options;

  function hostsIn(state: HostState): readonly HostRegistration[] {
    const self = currentState() === state ? [own] : [];
    const others = peers
      .alive()
      .filter(({ heartbeat }) => heartbeat.state === state)
      .map(({ heartbeat }) => heartbeat.host);
    return [...self, ...others];
  }

  return (region, { name, address = '' } = {}) => {
    const routes = view.table()?.routes ?? [];
    const named = routes.filter(({ host }) => host === name?.toLowerCase());
    return chooseDirectoryHosts({
      callerRegion: region,
      callerAddress: address,
      readyHosts: hostsIn('ready'),
      drainingHosts: hostsIn('draining'),
      ownRegion: own.region,
      homeRegions: (named.length > 0 ? named : routes)
        .map(({ homeRegions }) => homeRegions)
        .filter((homes) => homes.length > 0),
    });
  };
}

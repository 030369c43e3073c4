import type { HostId } from '@camphorbarrow/core';
import type { FleetView } from '../fleet/createFleetView.js';
import type { HostRegistration } from '../model/HostRegistration.js';
import type { PeerRegistry } from '../peers/createPeerRegistry.js';

export interface OtherHostsOptions {
  readonly ownId: HostId;
  readonly view: Pick<FleetView, 'hosts'>;
  readonly peers: Pick<PeerRegistry, 'knownHosts'>;
}

/** Creates the list of all hosts but this one that the store or a heartbeat names; never behind them. */
export function createOtherHosts({
  ownId,
  view,
  peers,
}: OtherHostsOptions): () => readonly HostRegistration[] {
  let registered: readonly HostRegistration[] | undefined;
  let heard: readonly HostRegistration[] | undefined;
  let others: readonly HostRegistration[] = [];

  return () => {
    if (registered !== view.hosts() || heard !== peers.knownHosts()) {
      registered = view.hosts();
      heard = peers.knownHosts();
      const hosts = new Map([...heard, ...registered].map((host) => [host.id, host]));
      hosts.delete(ownId);
      others = [...hosts.values()];
    }
    return others;
  };
}

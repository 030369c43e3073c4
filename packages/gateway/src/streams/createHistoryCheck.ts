import type { Clock, HostId } from '@camphorbarrow/core';
import { compareStorePositions } from '../fleet/compareStorePositions.js';
import type { FleetView } from '../fleet/createFleetView.js';
import type { PeerRegistry } from '../peers/createPeerRegistry.js';
import { hasQuorum, isHistoryCurrent } from './isHistoryCurrent.js';

export interface HistoryCheckOptions {
  readonly clock: Clock;
  readonly ownId: HostId;
  readonly view: Pick<FleetView, 'hosts' | 'position' | 'confirmedAtMs'>;
  readonly peers: Pick<PeerRegistry, 'alive'>;
}

/**
 * Creates a function that tells whether this host knows all versions that streams may have now. It
 * must be called regularly: it also notes when the peers have told what they saw before this host
 * started.
 */
export function createHistoryCheck(options: HistoryCheckOptions): () => boolean {
  const { clock, ownId, view, peers } = options;
  let hasPeersHistory = false;

  return () => {
    const alive = peers.alive();
    const hosts = view.hosts();
    const state = {
      storeAgeMs: clock.monotonicMs() - view.confirmedAtMs(),
      registeredPeers: hosts.filter(({ id }) => id !== ownId).length,
      alivePeers: alive.length,
      isBehindPeer: alive.some(
        ({ heartbeat }) => compareStorePositions(heartbeat.storePosition, view.position()) > 0,
      ),
    };
    hasPeersHistory ||= hosts.length > 0 && hasQuorum(state);
    return hasPeersHistory && isHistoryCurrent(state);
  };
}

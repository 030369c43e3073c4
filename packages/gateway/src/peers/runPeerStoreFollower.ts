import type { Clock, LogSink } from '@camphorbarrow/core';
import type { FleetView } from '../fleet/createFleetView.js';
import type { Endpoint } from '../model/Endpoint.js';
import type { StoreUpdate } from '../model/StoreUpdate.js';
import type { PeerRegistry } from './createPeerRegistry.js';

/** Age of the view from which this host asks its peers for updates. */
export const STORE_STALE_AFTER_MS = 1_200;
const POLL_INTERVAL_MS = 300;

export interface PeerStoreFollowerOptions {
  readonly clock: Clock;
  readonly log: LogSink;
  readonly view: FleetView;
  readonly peers: PeerRegistry;
  /** Fetches a store update from a peer. */
  readonly fetchStoreUpdate: (peer: Endpoint) => Promise<StoreUpdate>;
  readonly signal: AbortSignal;
}

/**
 * Updates the view from peers while this host cannot read the store, so that a host whose calls the
 * store rejects learns of changes like the others.
 */
export async function runPeerStoreFollower(options: PeerStoreFollowerOptions): Promise<void> {
  const { clock, log, view, peers, signal } = options;
  while (!signal.aborted) {
    const isStale = clock.monotonicMs() - view.confirmedAtMs() > STORE_STALE_AFTER_MS;
    const newestPeer = isStale
      ? peers
          .alive()
          .filter(({ heartbeat }) => heartbeat.revision > view.revision())
          .sort((a, b) => b.heartbeat.revision - a.heartbeat.revision)[0]
      : undefined;
    if (newestPeer !== undefined) {
      const { host } = newestPeer.heartbeat;
      try {
        view.applyPeerUpdate(await options.fetchStoreUpdate(host.peers));
        log.info('store-update-from-peer', { hostId: host.id, revision: view.revision() });
      } catch (error) {
        log.warn('store-update-from-peer-failed', {
          hostId: host.id,
          reason: (error as Error).message,
        });
      }
    }
    await clock.sleep(POLL_INTERVAL_MS, signal).catch(() => undefined);
  }
}

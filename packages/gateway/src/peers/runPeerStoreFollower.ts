import type { Clock, LogSink } from '@camphorbarrow/core';
import type { FleetView } from '../fleet/createFleetView.js';
import type { Endpoint } from '../model/Endpoint.js';
import type { StoreUpdate } from '../model/StoreUpdate.js';
import type { PeerRegistry } from './createPeerRegistry.js';

/** Age of this host's own news from the store from which peers are asked. */
export const STORE_STALE_AFTER_MS = 1_200;
const POLL_MS = 300;

export interface PeerStoreFollowerOptions {
  readonly clock: Clock;
  readonly log: LogSink;
  readonly view: FleetView;
  readonly peers: PeerRegistry;
  /** Fetches what a peer knows of the store. */
  readonly fetchStoreUpdate: (peer: Endpoint) => Promise<StoreUpdate>;
  readonly signal: AbortSignal;
}

/**
 * Reads the store through peers while this host cannot read it, so that a host that the store
 * refuses learns of changes as the others do.
 */
export async function runPeerStoreFollower(options: PeerStoreFollowerOptions): Promise<void> {
  const { clock, log, view, peers, signal } = options;
  while (!signal.aborted) {
    const stale = clock.monotonicMs() - view.confirmedAtMs() > STORE_STALE_AFTER_MS;
    const ahead = stale
      ? peers
          .alive()
          .filter(({ heartbeat }) => heartbeat.revision > view.revision())
          .sort((a, b) => b.heartbeat.revision - a.heartbeat.revision)[0]
      : undefined;
    if (ahead !== undefined) {
      const { host } = ahead.heartbeat;
      try {
        view.applyPeerUpdate(await options.fetchStoreUpdate(host.peers));
        log.info('news-from-peer', { hostId: host.id, revision: view.revision() });
      } catch (error) {
        log.warn('news-from-peer-failed', { hostId: host.id, reason: (error as Error).message });
      }
    }
    await clock.sleep(POLL_MS, signal).catch(() => undefined);
  }
}

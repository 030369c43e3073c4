import type { Clock, LogSink } from '@camphorbarrow/core';
import { compareStorePositions } from '../fleet/compareStorePositions.js';
import type { FleetView } from '../fleet/createFleetView.js';
import type { Endpoint } from '../model/Endpoint.js';
import type { StoreUpdate } from '../model/StoreUpdate.js';
import type { Peer, PeerRegistry } from './createPeerRegistry.js';

/** Age of the view from which this host asks its peers for updates. */
export const STORE_STALE_AFTER_MS = 1_200;
/** Time after which a newer configuration of a peer is not expected from the store any more. */
const CONFIGURATION_LAG_MS = 1_200;
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
 * store rejects learns of changes like the others. Also fetches a configuration that peers have in
 * force and the store, restored from an older copy, no longer has.
 */
export async function runPeerStoreFollower(options: PeerStoreFollowerOptions): Promise<void> {
  const { clock, log, view, peers, signal } = options;
  let configurationCurrentAtMs = clock.monotonicMs();

  /** Peer that is ahead of this host's view of the store. */
  function findNewestPeer(): Peer | undefined {
    return peers
      .alive()
      .filter(
        ({ heartbeat }) => compareStorePositions(heartbeat.storePosition, view.position()) > 0,
      )
      .sort((a, b) =>
        compareStorePositions(b.heartbeat.storePosition, a.heartbeat.storePosition),
      )[0];
  }

  /** Peer whose configuration has been newer than this host's for a while. */
  function findPeerWithNewerConfiguration(): Peer | undefined {
    const version = view.table()?.version ?? 0;
    const [newest] = peers
      .alive()
      .filter(({ heartbeat }) => heartbeat.configurationVersion > version)
      .sort((a, b) => b.heartbeat.configurationVersion - a.heartbeat.configurationVersion);
    const nowMs = clock.monotonicMs();
    if (newest === undefined) {
      configurationCurrentAtMs = nowMs;
    }
    return nowMs - configurationCurrentAtMs > CONFIGURATION_LAG_MS ? newest : undefined;
  }

  while (!signal.aborted) {
    const isStale = clock.monotonicMs() - view.confirmedAtMs() > STORE_STALE_AFTER_MS;
    const peerWithNewerConfiguration = findPeerWithNewerConfiguration();
    const peer = (isStale ? findNewestPeer() : undefined) ?? peerWithNewerConfiguration;
    if (peer !== undefined) {
      const { host } = peer.heartbeat;
      try {
        view.applyPeerUpdate(await options.fetchStoreUpdate(host.peers));
        log.info('store-update-from-peer', {
          hostId: host.id,
          ...view.position(),
          version: view.table()?.version,
        });
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

import { compareWholeNumbers } from '@camphorbarrow/core';
import type { Clock, LogSink } from '@camphorbarrow/core';
import { compareStorePositions } from '../fleet/compareStorePositions.js';
import type { FleetView } from '../fleet/createFleetView.js';
import type { Endpoint } from '../model/Endpoint.js';
import { printPosition } from '../model/printPosition.js';
import { printVersion } from '../model/printVersion.js';
import type { HostRegistration } from '../model/HostRegistration.js';
import type { StoreUpdate } from '../model/StoreUpdate.js';
import { pickByRendezvous } from '../routing/rankByRendezvous.js';
import type { Peer, PeerRegistry } from './createPeerRegistry.js';

/** Age of the view from which this host asks its peers for updates. */
export const STORE_STALE_AFTER_MS = 1_200;
/** Time after which a newer configuration of a peer is not expected from the store any more. */
const CONFIGURATION_LAG_MS = 1_200;
const POLL_INTERVAL_MS = 300;

export interface PeerStoreFollowerOptions {
  readonly clock: Clock;
  readonly log: LogSink;
  readonly own: Pick<HostRegistration, 'id' | 'region'>;
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
  const { clock, log, own, view, peers, signal } = options;
  /** When no peer had a newer configuration; until peers are known, nothing tells it. */
  let configurationCurrentAtMs = -Infinity;

  /**
   * Peer that is ahead of this host's view of the store, of the own region if there is one. Hosts
   * that lose the store together ask different peers.
   */
  function findPeerAhead(): Peer | undefined {
    const ahead = peers
      .alive()
      .filter(
        ({ heartbeat }) => compareStorePositions(heartbeat.storePosition, view.position()) > 0,
      );
    const local = ahead.filter(({ heartbeat }) => heartbeat.host.region === own.region);
    const candidates = local.length > 0 ? local : ahead;
    const picked = pickByRendezvous(
      own.id,
      candidates.map(({ heartbeat }) => heartbeat.host.id),
    );
    return candidates.find(({ heartbeat }) => heartbeat.host.id === picked);
  }

  /** Peer whose configuration has been newer than this host's for a while. */
  function findPeerWithNewerConfiguration(): Peer | undefined {
    const version = view.table()?.version ?? 0;
    const alive = peers.alive();
    const [newest] = alive
      .filter(({ heartbeat }) => heartbeat.configurationVersion > version)
      .sort((a, b) =>
        compareWholeNumbers(b.heartbeat.configurationVersion, a.heartbeat.configurationVersion),
      );
    const nowMs = clock.monotonicMs();
    if (newest === undefined && alive.length > 0) {
      configurationCurrentAtMs = nowMs;
    }
    return nowMs - configurationCurrentAtMs > CONFIGURATION_LAG_MS ? newest : undefined;
  }

  while (!signal.aborted) {
    const isStale = clock.monotonicMs() - view.confirmedAtMs() > STORE_STALE_AFTER_MS;
    const peerWithNewerConfiguration = findPeerWithNewerConfiguration();
    const peer = (isStale ? findPeerAhead() : undefined) ?? peerWithNewerConfiguration;
    if (peer !== undefined) {
      const { host } = peer.heartbeat;
      try {
        view.applyPeerUpdate(await options.fetchStoreUpdate(host.peers));
        log.info('store-update-from-peer', {
          hostId: host.id,
          ...printPosition(view.position()),
          version: printVersion(view.table()?.version),
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

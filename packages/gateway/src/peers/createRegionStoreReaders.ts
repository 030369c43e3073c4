import { asId } from '@camphorbarrow/core';
import type { Clock, HostId, LogSink, RegionId } from '@camphorbarrow/core';
import type { FleetView } from '../fleet/createFleetView.js';
import type { Endpoint } from '../model/Endpoint.js';
import type { StoreUpdate } from '../model/StoreUpdate.js';
import { pickByRendezvous, rankByRendezvous } from '../routing/rankByRendezvous.js';
import { formatEndpoint } from '../upstream/createConnectionPools.js';
import type { PeerRegistry } from './createPeerRegistry.js';

/**
 * Number of entry hosts per region that watch the store; the others get updates from them. A watch
 * returns many times a second, because every heartbeat of a server is a change, and every call is
 * charged. The hosts with the most cores are taken: each of them serves a third of the region.
 */
const READERS_PER_REGION = 3;
/** Maximum age of a reader's view; if it is older, the host reads the store itself. */
const MAX_VIEW_AGE_MS = 3_000;
const READERS_KEY = 'store-reader';

export interface RegionStoreReadersOptions {
  readonly clock: Clock;
  readonly log: LogSink;
  readonly ownId: HostId;
  /** Processor cores of this host, if it tells them. */
  readonly ownCores: number | undefined;
  readonly region: RegionId;
  readonly view: FleetView;
  readonly peers: PeerRegistry;
  readonly fetchStoreUpdate: (peer: Endpoint) => Promise<StoreUpdate>;
}

/** Entry hosts of the region that read the store for the others. */
export interface RegionStoreReaders {
  /** Updates the view from a reader. Returns false if this host has to read the store itself. */
  syncFromReader(): Promise<boolean>;
}

/** Creates the selection of readers, which all hosts of a region compute from their heartbeats. */
export function createRegionStoreReaders(options: RegionStoreReadersOptions): RegionStoreReaders {
  const { clock, log, ownId, view, peers } = options;

  /** Returns the reader to ask; undefined if this host is a reader itself. */
  function chooseReader(): Endpoint | undefined {
    const hosts = peers.aliveIn(options.region).map(({ heartbeat }) => heartbeat.host);
    const coresOf = new Map(
      [...hosts, { id: ownId, cores: options.ownCores }].map(({ id, cores = 0 }) => [id, cores]),
    );
    const readers = rankByRendezvous(READERS_KEY, [...coresOf.keys()])
      .map((id) => asId<HostId>(id))
      .sort((a, b) => (coresOf.get(b) ?? 0) - (coresOf.get(a) ?? 0))
      .slice(0, READERS_PER_REGION);
    const chosen = pickByRendezvous(ownId, readers);
    return readers.includes(ownId) ? undefined : hosts.find(({ id }) => id === chosen)?.peers;
  }

  return {
    async syncFromReader() {
      const reader = chooseReader();
      if (reader === undefined) {
        return false;
      }
      try {
        const update = await options.fetchStoreUpdate(reader);
        if (update.era < view.position().era) {
          return false;
        }
        view.applyPeerUpdate(update);
      } catch (error) {
        log.warn('store-update-from-reader-failed', {
          reader: formatEndpoint(reader),
          reason: (error as Error).message,
        });
        return false;
      }
      return clock.monotonicMs() - view.confirmedAtMs() <= MAX_VIEW_AGE_MS;
    },
  };
}

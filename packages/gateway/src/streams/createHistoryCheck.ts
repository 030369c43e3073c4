import type { Clock, HostId } from '@camphorbarrow/core';
import { compareStorePositions } from '../fleet/compareStorePositions.js';
import type { FleetView } from '../fleet/createFleetView.js';
import type { PeerRegistry } from '../peers/createPeerRegistry.js';
import { hasQuorum, isHistoryCurrent } from './isHistoryCurrent.js';
import { STREAM_RETENTION_MS } from './streamRetention.js';

export interface HistoryCheckOptions {
  readonly clock: Clock;
  readonly ownId: HostId;
  readonly view: Pick<FleetView, 'hosts' | 'position' | 'confirmedAtMs' | 'keptVersions'>;
  readonly peers: Pick<PeerRegistry, 'alive'>;
}

/** What a host can say of the versions that streams may have. */
export interface HistoryCheck {
  /**
   * Whether this host has learned the versions from before its start. It must be asked regularly, as
   * it also notes what peers tell.
   */
  isComplete(): boolean;
  /** Whether this host knows all versions that streams may have now. */
  isCurrent(): boolean;
}

/**
 * Creates the check of one host. What was before its start is known from the versions that the store
 * keeps, from at least half of the other hosts if these know it, or after `STREAM_RETENTION_MS`. If the
 * store keeps none, no fleet that keeps them ran before, and half of the other hosts suffice.
 */
export function createHistoryCheck(options: HistoryCheckOptions): HistoryCheck {
  const { clock, ownId, view, peers } = options;
  let listedSinceMs: number | undefined;
  let isLearned = false;

  const countOthers = (): number => view.hosts().filter(({ id }) => id !== ownId).length;

  function learnsNow(): boolean {
    if (view.hosts().length === 0) {
      return false;
    }
    const nowMs = clock.monotonicMs();
    listedSinceMs ??= nowMs;
    const kept = view.keptVersions();
    const { era } = view.position();
    const alive = peers.alive();
    const informed = alive.filter(({ heartbeat }) => heartbeat.knowsVersions === true);
    const registeredPeers = countOthers();
    if (nowMs - listedSinceMs > STREAM_RETENTION_MS) {
      return true;
    }
    return kept.length === 0
      ? hasQuorum({ registeredPeers, alivePeers: alive.length })
      : kept.every((entry) => entry.era >= era) ||
          (informed.length > 0 && hasQuorum({ registeredPeers, alivePeers: informed.length }));
  }

  function isComplete(): boolean {
    isLearned ||= learnsNow();
    return isLearned;
  }

  return {
    isComplete,
    isCurrent() {
      const alive = peers.alive();
      const state = {
        storeAgeMs: clock.monotonicMs() - view.confirmedAtMs(),
        registeredPeers: countOthers(),
        alivePeers: alive.length,
        isBehindPeer: alive.some(
          ({ heartbeat }) => compareStorePositions(heartbeat.storePosition, view.position()) > 0,
        ),
      };
      return isComplete() && isHistoryCurrent(state);
    },
  };
}

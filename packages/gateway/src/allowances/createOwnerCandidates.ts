import type { Clock, HostId, RegionId } from '@camphorbarrow/core';
import type { FleetView } from '../fleet/createFleetView.js';
import type { HostRegistration } from '../model/HostRegistration.js';
import type { PeerRegistry } from '../peers/createPeerRegistry.js';
import { largerHosts } from './largerHosts.js';

/** Interval at which the candidates are determined. */
const UPDATE_INTERVAL_MS = 500;

export interface OwnerCandidatesOptions {
  readonly clock: Clock;
  readonly ownId: HostId;
  readonly view: Pick<FleetView, 'hosts'>;
  readonly peers: Pick<PeerRegistry, 'alive' | 'known'>;
  /** Whether this host stops, so that others take over what it owns. */
  readonly isDraining: () => boolean;
}

/** Hosts that may own allowances, and all that may send messages on them. */
export interface OwnerCandidates {
  /** Determines the hosts again, unless that was done a moment ago. Returns whether it was done. */
  update(): boolean;
  /** The same array until the candidates change. */
  in(region: RegionId): readonly HostId[];
  regions(): readonly RegionId[];
  /** Hosts known from the store or by heartbeats. */
  known(): ReadonlyMap<HostId, HostRegistration>;
  /** Hosts that are registered in the store, or heard of by heartbeats and not closing. */
  present(): readonly HostId[];
  /** Whether the host said that it rejects new requests before its process ends. */
  isClosing(host: HostId): boolean;
}

/** Creates the candidates: registered hosts that are ready, the half with the most cores if possible. */
export function createOwnerCandidates(options: OwnerCandidatesOptions): OwnerCandidates {
  const { clock, ownId, view, peers } = options;
  const byRegion = new Map<RegionId, readonly HostId[]>();
  let known: ReadonlyMap<HostId, HostRegistration> = new Map();
  let closing: ReadonlySet<HostId> = new Set();
  let updatedAtMs = -Infinity;

  function update(): void {
    const peersById = new Map(peers.known().map((peer) => [peer.heartbeat.host.id, peer]));
    const alive = new Set(peers.alive().map(({ heartbeat }) => heartbeat.host.id));
    const registered = view.hosts();
    const ofPeers = [...peersById.values()].map(({ heartbeat }) => heartbeat);
    known = new Map(
      [...ofPeers.map(({ host }) => host), ...registered].map((host) => [host.id, host]),
    );
    closing = new Set(
      ofPeers.filter(({ state }) => state === 'closing').map(({ host }) => host.id),
    );

    function mayOwn({ id }: HostRegistration): boolean {
      if (id === ownId) {
        return !options.isDraining();
      }
      const peer = peersById.get(id);
      // A host that was never heard of may have just started, or this one has.
      return peer === undefined || (alive.has(id) && peer.heartbeat.state === 'ready');
    }

    const regions = new Set(registered.map(({ region }) => region));
    byRegion.forEach((_, region) => {
      if (!regions.has(region)) {
        byRegion.delete(region);
      }
    });
    regions.forEach((region) => {
      const ofRegion = registered.filter((host) => host.region === region);
      const larger = largerHosts(ofRegion).filter(mayOwn);
      const candidates = larger.length === 0 ? ofRegion.filter(mayOwn) : larger;
      const ids = candidates.map(({ id }) => id);
      const before = byRegion.get(region);
      if (before?.length !== ids.length || ids.some((id, index) => id !== before[index])) {
        byRegion.set(region, ids);
      }
    });
  }

  return {
    update() {
      const nowMs = clock.monotonicMs();
      if (nowMs - updatedAtMs < UPDATE_INTERVAL_MS) {
        return false;
      }
      updatedAtMs = nowMs;
      update();
      return true;
    },
    in: (region) => byRegion.get(region) ?? [],
    regions: () => [...byRegion.keys()],
    known: () => known,
    present: () => [
      ...new Set([
        ...view.hosts().map(({ id }) => id),
        ...[...known.keys()].filter((id) => !closing.has(id)),
      ]),
    ],
    isClosing: (host) => closing.has(host),
  };
}

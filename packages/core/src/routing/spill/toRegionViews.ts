import type { RegionId } from '../../ids/RegionId.js';
import type { PeerView } from '../../membership/PeerView.js';
import type { RegionLoadSummary } from './RegionLoadSummary.js';
import type { RegionView } from './RegionView.js';

export interface RegionViewInput {
  readonly ownRegionId: RegionId;
  readonly peers: readonly PeerView[];
  readonly ownConfigVersion: number;
  readonly nowMs: number;
  readonly roundTripMs: (regionId: RegionId) => number | undefined;
}

/** Hosts of a region see the same engines; where they differ, the least favourable counts. */
function merge(a: RegionLoadSummary, b: RegionLoadSummary): RegionLoadSummary {
  return {
    capacity: Math.min(a.capacity, b.capacity),
    inUse: Math.max(a.inUse, b.inUse),
    firstTokenWaitMs: Math.max(a.firstTokenWaitMs, b.firstTokenWaitMs),
    spilling: a.spilling || b.spilling,
  };
}

function toRegionView(
  regionId: RegionId,
  peers: readonly PeerView[],
  facts: RegionViewInput,
): RegionView {
  const reporting = peers.filter(({ regionLoad }) => regionLoad !== undefined);
  const summaries = reporting.flatMap(({ regionLoad }) => regionLoad ?? []);
  const newestAtMs = Math.max(...reporting.map(({ lastSeenAtMs: heardAtMs }) => heardAtMs));
  return {
    regionId,
    load: summaries.length === 0 ? undefined : summaries.reduce(merge),
    loadAgeMs: facts.nowMs - newestAtMs,
    roundTripMs: facts.roundTripMs(regionId),
    peerUrls: peers.map(({ peerUrl }) => peerUrl),
  };
}

/**
 * Views of all other regions with at least one reachable entry host that takes requests. There are
 * none while a peer has a newer configuration, because it may bind a customer to a home region.
 */
export function toRegionViews(facts: RegionViewInput): RegionView[] {
  if (facts.peers.some((p) => p.reachable && p.configVersion > facts.ownConfigVersion)) {
    return [];
  }
  const byRegion = new Map<RegionId, PeerView[]>();
  facts.peers
    .filter(({ regionId, reachable, state }) => {
      const usable = reachable && state === 'live';
      return usable && regionId !== facts.ownRegionId;
    })
    .forEach((peer) => {
      byRegion.set(peer.regionId, [...(byRegion.get(peer.regionId) ?? []), peer]);
    });
  return [...byRegion].map(([regionId, peers]) => toRegionView(regionId, peers, facts));
}

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

/**
 * Combines two summaries of the same engines; where they differ, the less favourable value counts.
 */
function mergeSummaries(a: RegionLoadSummary, b: RegionLoadSummary): RegionLoadSummary {
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
  input: RegionViewInput,
): RegionView {
  const reporting = peers.filter(({ regionLoad }) => regionLoad !== undefined);
  const summaries = reporting.flatMap(({ regionLoad }) => regionLoad ?? []);
  const newestAtMs = Math.max(...reporting.map(({ lastSeenAtMs }) => lastSeenAtMs));
  return {
    regionId,
    load: summaries.length === 0 ? undefined : summaries.reduce(mergeSummaries),
    loadAgeMs: input.nowMs - newestAtMs,
    roundTripMs: input.roundTripMs(regionId),
    peerUrls: peers.map(({ peerUrl }) => peerUrl),
  };
}

/**
 * Returns views of all other regions with at least one reachable entry host that accepts requests.
 * Returns none while a reachable peer has a newer configuration, because that configuration may
 * assign a home region to a customer.
 */
export function toRegionViews(input: RegionViewInput): RegionView[] {
  if (input.peers.some((p) => p.reachable && p.configVersion > input.ownConfigVersion)) {
    return [];
  }
  const byRegion = new Map<RegionId, PeerView[]>();
  input.peers
    .filter(({ regionId, reachable, state }) => {
      const usable = reachable && state === 'live';
      return usable && regionId !== input.ownRegionId;
    })
    .forEach((peer) => {
      byRegion.set(peer.regionId, [...(byRegion.get(peer.regionId) ?? []), peer]);
    });
  return [...byRegion].map(([regionId, peers]) => toRegionView(regionId, peers, input));
}

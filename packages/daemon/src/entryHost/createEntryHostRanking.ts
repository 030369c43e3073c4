import type { EntryHostList } from '@camphorbarrow/adapters';
import type { PeerDescription, PeerTable, RegionId } from '@camphorbarrow/core';

export interface EntryHostRankingOptions {
  readonly self: () => Omit<PeerDescription, 'sequence'>;
  readonly peers: PeerTable;
}

export interface EntryHostRanking {
  /** List for callers of this region, including this host until it starts draining. */
  list(): EntryHostList;
  /** Base URLs of a region's entry hosts. */
  entryHostUrls(regionId: RegionId): readonly string[];
  knownRegions(): ReadonlySet<RegionId>;
}

const LIST_VALID_MS = 5_000;

/** Creates the ranking of entry hosts for callers. */
export function createEntryHostRanking(options: EntryHostRankingOptions): EntryHostRanking {
  const { peers } = options;

  function entryHostUrls(regionId: RegionId): readonly string[] {
    const self = options.self();
    const own = self.regionId === regionId && self.state === 'live' ? [self.callerUrl] : [];
    return [...own, ...peers.livePeers(regionId).map((peer) => peer.callerUrl)];
  }

  return {
    list() {
      const { regionId } = options.self();
      return {
        region: regionId,
        entryHostUrls: entryHostUrls(regionId),
        validForMs: LIST_VALID_MS,
      };
    },
    entryHostUrls,
    knownRegions: () =>
      new Set([options.self().regionId, ...peers.peers().map((peer) => peer.regionId)]),
  };
}

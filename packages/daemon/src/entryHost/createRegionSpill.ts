import {
  createLocalEstimate,
  createRegionDelays,
  createSpillDecider,
  createWaitCorrection,
  spillWhenItPays,
  summarizeRegionLoad,
  toRegionViews,
} from '@camphorbarrow/core';
import type {
  Clock,
  EstimateContext,
  InferenceRequest,
  LocalEstimate,
  PeerTable,
  PeerView,
  Rank,
  RegionDelays,
  RegionId,
  RegionLoadSummary,
  ServerRegistry,
  SpillDecider,
  WaitCorrection,
} from '@camphorbarrow/core';
import type { RegionRouting } from './createRegionRouting.js';

export interface RegionSpillOptions {
  readonly clock: Clock;
  readonly regionId: RegionId;
  readonly registry: ServerRegistry;
  readonly routing: Pick<RegionRouting, 'estimator' | 'index' | 'correction'>;
  readonly configVersion: () => number;
}

export interface RegionSpill {
  readonly decider: SpillDecider;
  /** Waits in this entry host's own queue; its admission records them. */
  readonly admissionWaits: WaitCorrection;
  /** Sets the peer table that lists the other regions; before this call there are none. */
  setPeerTable(peers: PeerTable): void;
  readonly recordRoundTrip: RegionDelays['record'];
  estimateLocal(request: InferenceRequest): LocalEstimate;
  /** Load summary of this host's region for the heartbeats. */
  summary(): RegionLoadSummary;
}

/** Creates the components that decide whether a request is forwarded to another region. */
export function createRegionSpill(options: RegionSpillOptions): RegionSpill {
  const { clock, regionId, registry, routing } = options;
  const { estimator, index, correction } = routing;
  const delays = createRegionDelays(clock);
  let peerTable: PeerTable | undefined;
  const peers = (): readonly PeerView[] => peerTable?.peers() ?? [];
  const admissionWaits = createWaitCorrection();
  const waitMs = (rank: Rank): number =>
    correction.waitMs(rank, clock.monotonicMs()) + admissionWaits.waitMs(rank, clock.monotonicMs());
  const context = (): Omit<EstimateContext, 'rank'> => ({
    nowMs: clock.monotonicMs(),
    entryHostCount: (peerTable?.livePeers(regionId).length ?? 0) + 1,
  });
  const decider = createSpillDecider({
    policy: spillWhenItPays,
    regions: () =>
      toRegionViews({
        ownRegionId: regionId,
        peers: peers(),
        ownConfigVersion: options.configVersion(),
        nowMs: clock.monotonicMs(),
        roundTripMs: delays.roundTripMs,
      }),
    fleetHostCount: () => peers().filter(({ reachable }) => reachable).length + 1,
  });
  return {
    decider,
    admissionWaits,
    setPeerTable(table) {
      peerTable = table;
    },
    recordRoundTrip: delays.record,
    estimateLocal: (request) =>
      createLocalEstimate({
        request,
        servers: registry.servers(),
        estimator,
        context: context(),
        cachedTokens: ({ entry }) => index.cachedTokens(entry.serverId, request.blockHashes),
        ownQueueMs: waitMs(request.rank),
      }),
    summary: () =>
      summarizeRegionLoad({
        servers: registry.servers(),
        estimator,
        context: context(),
        ownQueueMs: waitMs('patient'),
        spilling: decider.isSpilling(clock.monotonicMs()),
      }),
  };
}

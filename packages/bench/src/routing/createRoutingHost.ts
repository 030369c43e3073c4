import {
  asId,
  createAdmitAll,
  createCacheEventPoller,
  createFirstTokenEstimator,
  createEngineDispatcher,
  createInferenceGateway,
  createNoQuarantine,
  createLocalEstimate,
  createPrefixIndex,
  createRegionDelays,
  createRouteObserver,
  createSeededRandom,
  createServerRates,
  createServerRegistry,
  createSpillDecider,
  createSpillGateway,
  createUnlimitedRetryBudget,
  createRetryBudget,
  observeAdmissionWait,
  createWaitCorrection,
  summarizeRegionLoad,
  toRegionViews,
  createPassThroughDispatchQueue,
} from '@camphorbarrow/core';
import type {
  EngineClient,
  EstimateContext,
  ForwardClient,
  HostId,
  HostList,
  InferenceGateway,
  PeerView,
  Rank,
  RegionId,
  RegionLoadSummary,
  RouteChooser,
  SpillPolicy,
} from '@camphorbarrow/core';
import type { VirtualClock } from '../clock/VirtualClock.js';
import { createNoLog } from '../fakes/createNoLog.js';
import { createNoMetrics } from '../fakes/createNoMetrics.js';
import { admissionChoices } from '../policies/admissionChoices.js';
import type { RoutingPolicy } from './RoutingPolicy.js';
import { routeFactories, spillPolicies } from './routingChoices.js';

export interface RoutingHostOptions {
  readonly hostId: HostId;
  readonly regionId: RegionId;
  readonly clock: VirtualClock;
  readonly seed: number;
  readonly policy: RoutingPolicy;
  /** Number of entry hosts in the region. */
  readonly entryHostCount: number;
  /** Number of entry hosts in the whole fleet. */
  readonly fleetHostCount: number;
  readonly hostList: HostList;
  readonly engineClient: EngineClient;
  readonly forwardClient: ForwardClient;
}

/** An entry host composed of the real routing and spill code. */
export interface RoutingHost {
  readonly hostId: HostId;
  readonly regionId: RegionId;
  /** Serves a request in its own region or forwards it to another one. */
  readonly gateway: InferenceGateway;
  /** Serves a request in its own region. */
  readonly local: InferenceGateway;
  summary(): RegionLoadSummary;
  /** Handles a heartbeat of a host in another region; `load` is undefined if it did not arrive. */
  receiveHeartbeat(
    from: Pick<RoutingHost, 'hostId' | 'regionId'>,
    load: RegionLoadSummary | undefined,
    roundTripMs: number,
  ): void;
  close(): Promise<void>;
}

/** Time without a heartbeat after which a peer counts as unreachable. */
const FAILURE_TIMEOUT_MS = 3_500;
const LOAD_TIMEOUT_MS = 1_000;

/** Creates and starts an entry host of a routing experiment. */
export function createRoutingHost(options: RoutingHostOptions): RoutingHost {
  const { clock, regionId, hostId, policy } = options;
  const log = createNoLog();
  const metrics = createNoMetrics();
  const random = createSeededRandom(options.seed);
  const registry = createServerRegistry({
    clock,
    log,
    hostList: options.hostList,
    isUsed: (entry) => entry.regionId === regionId && entry.kind === 'engine',
    readLoad: (entry) => options.engineClient.readLoad(entry.baseUrl, LOAD_TIMEOUT_MS),
  });
  const index = createPrefixIndex();
  const rates = createServerRates();
  const estimator = createFirstTokenEstimator(rates);
  const correction = createWaitCorrection();
  const admissionWaits = createWaitCorrection();
  const waitMs = (rank: Rank): number =>
    correction.waitMs(rank, clock.monotonicMs()) + admissionWaits.waitMs(rank, clock.monotonicMs());
  const createChooser = routeFactories[policy.route] as (e: typeof estimator) => RouteChooser;
  const routing = createRouteObserver({
    clock,
    index,
    rates,
    estimator,
    correction,
    chooseRoute: createChooser(estimator),
    engineClient: options.engineClient,
  });
  const poller = createCacheEventPoller({
    clock,
    log,
    index,
    servers: registry.servers,
    readCacheEvents: (entry, after) =>
      options.engineClient.readCacheEvents(entry.baseUrl, after, LOAD_TIMEOUT_MS),
  });
  const context = (): Omit<EstimateContext, 'rank'> => ({
    nowMs: clock.monotonicMs(),
    entryHostCount: options.entryHostCount,
  });
  const delays = createRegionDelays(clock);
  const lastHeartbeats = new Map<HostId, Omit<PeerView, 'reachable'>>();
  const peers = (): PeerView[] =>
    [...lastHeartbeats.values()].map((peer) => ({
      ...peer,
      reachable: clock.monotonicMs() - peer.lastSeenAtMs < FAILURE_TIMEOUT_MS,
    }));
  const decider = createSpillDecider({
    policy: spillPolicies[policy.spill] as SpillPolicy,
    regions: () =>
      toRegionViews({
        ownRegionId: regionId,
        peers: peers(),
        ownConfigVersion: 1,
        nowMs: clock.monotonicMs(),
        roundTripMs: delays.roundTripMs,
      }),
    fleetHostCount: () => options.fleetHostCount,
  });
  const quarantine = createNoQuarantine();
  const createAdmission = admissionChoices[policy.admission] ?? createAdmitAll;
  const policyContext = {
    clock,
    random,
    regionId,
    registry,
    engineClient: options.engineClient,
    entryHostCount: () => options.entryHostCount,
  };
  const local = createInferenceGateway({
    clock,
    random,
    log,
    metrics,
    registry,
    dispatcher: createEngineDispatcher({ clock, engineClient: routing.engineClient, quarantine }),
    quarantine,
    chooseRoute: routing.chooseRoute,
    entryHostCount: () => options.entryHostCount,
    admission: observeAdmissionWait(createAdmission(policyContext), clock, admissionWaits),
    retryBudget:
      policy.admission === 'all' ? createUnlimitedRetryBudget() : createRetryBudget(clock),
    dispatchQueue: createPassThroughDispatchQueue(),
  });
  registry.start();
  poller.start();

  return {
    hostId,
    regionId,
    local,
    gateway: createSpillGateway({
      clock,
      random,
      log,
      metrics,
      hostId,
      local,
      forwardClient: options.forwardClient,
      decider,
      estimateLocal: (request) =>
        createLocalEstimate({
          request,
          servers: registry.servers(),
          estimator,
          context: context(),
          cachedTokens: ({ entry }) => index.cachedTokens(entry.serverId, request.blockHashes),
          ownQueueMs: waitMs(request.rank),
        }),
    }),
    summary: () =>
      summarizeRegionLoad({
        servers: registry.servers(),
        estimator,
        context: context(),
        ownQueueMs: waitMs('patient'),
        spilling: decider.isSpilling(clock.monotonicMs()),
      }),
    receiveHeartbeat(from, load, roundTripMs) {
      if (load === undefined) {
        delays.record(from.regionId, undefined);
        return;
      }
      delays.record(from.regionId, roundTripMs);
      lastHeartbeats.set(from.hostId, {
        hostId: from.hostId,
        incarnation: asId('1'),
        startedAtMs: 0,
        regionId: from.regionId,
        availabilityZoneId: asId('a'),
        callerUrl: from.hostId,
        peerUrl: from.hostId,
        state: 'live',
        sequence: 0,
        configVersion: 1,
        configChangeId: '1',
        regionLoad: load,
        lastSeenAtMs: clock.monotonicMs(),
      });
    },
    async close() {
      await Promise.all([registry.close(), poller.close()]);
    },
  };
}

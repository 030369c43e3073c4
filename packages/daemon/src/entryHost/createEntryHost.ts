import { randomInt, randomUUID } from 'node:crypto';
import {
  createCallerListener,
  createHttpClientDirectory,
  createPeerListener,
} from '@camphorbarrow/adapters';
import {
  asId,
  createBurnCounters,
  createCallerReader,
  createConfigKeeper,
  createCrashProbe,
  createEngineDispatcher,
  createInferenceGateway,
  createInferenceRequest,
  createPeerBackedHostList,
  createPeerTable,
  createQuarantine,
  createOrderDispatch,
  createOrderExecutor,
  createRepeatableDispatch,
  createRankAdmission,
  createRetryBudget,
  createSeededRandom,
  createServerRegistry,
  createServiceGateway,
  createServiceLane,
  createSharedDispatchLimit,
  createSpillGateway,
  createSystemClock,
  observeAdmissionWait,
  recordInference,
  recordServices,
} from '@camphorbarrow/core';
import type {
  AvailabilityZoneId,
  CallerFacts,
  HostBurn,
  HostId,
  HostListEntry,
  HostSettings,
  Incarnation,
  InferenceAnswer,
  InferenceGateway,
  InferenceRoute,
  LoadReport,
  PeerDescription,
  RegionId,
} from '@camphorbarrow/core';
import { collectBurnReport } from './collectBurnReport.js';
import { announcedUrl } from './announcedUrl.js';
import { createDrain } from './createDrain.js';
import { createEntryHostRanking } from './createEntryHostRanking.js';
import { createPorts } from './createPorts.js';
import { createRegionRouting } from './createRegionRouting.js';
import { createRegionSpill } from './createRegionSpill.js';
import { describeFleet } from './describeFleet.js';
import { createOrderApi } from './createOrderApi.js';
import { publishDirectory } from './publishDirectory.js';

export interface EntryHost {
  /** Graceful shutdown: steers callers away, then lets requests in flight end. */
  close(): Promise<void>;
}

const MAX_BODY_BYTES = 268_435_456;
const MAX_SEED = 2 ** 31;
const LOAD_TIMEOUT_MS = 1_000;
/** Above the default `timeouts.bodyTimeoutMs`, so that a slow sender gets the typed refusal first. */
const REQUEST_TIMEOUT_MS = 120_000;

/** Wires and starts one entry host. */
export async function createEntryHost(settings: HostSettings): Promise<EntryHost> {
  const hostId = asId<HostId>(settings.host.hostId);
  const regionId = asId<RegionId>(settings.host.region);
  const incarnation = asId<Incarnation>(randomUUID());
  const clock = createSystemClock();
  const random = createSeededRandom(randomInt(MAX_SEED));
  const ports = createPorts(settings);
  const { log, metrics, store, engineClient, serviceClient, peerClient, forwardClient } = ports;
  const startedAtMs = clock.nowMs();
  const drain = createDrain({ clock, log, settings: settings.drain });

  const config = createConfigKeeper({
    clock,
    random,
    log,
    store,
    peerClient,
    seedPeerUrls: settings.seedPeers,
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- each describes the other
    listPeers: () => peers.peers(),
  });

  const describeSelf = (): Omit<PeerDescription, 'sequence'> => ({
    hostId,
    incarnation,
    startedAtMs,
    regionId,
    availabilityZoneId: asId<AvailabilityZoneId>(settings.host.availabilityZone),
    callerUrl: announcedUrl(settings.callerListener),
    peerUrl: announcedUrl(settings.peerListener),
    state: drain.state(),
    configVersion: config.version(),
    configChangeId: config.revision().changeId,
  });

  const readLoad = (entry: HostListEntry): Promise<LoadReport> =>
    engineClient.readLoad(entry.baseUrl, LOAD_TIMEOUT_MS);
  const hostList = createPeerBackedHostList({
    log,
    platform: ports.hostList,
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- peers need the registry
    askPeers: () => askRegion((peerUrl) => peerClient.fetchServers(peerUrl)),
  });
  const registry = createServerRegistry({
    clock,
    log,
    hostList,
    isUsed: (entry) => entry.regionId === regionId,
    readLoad,
  });
  const routing = createRegionRouting({ clock, log, registry, engineClient });
  const spill = createRegionSpill({
    clock,
    regionId,
    registry,
    routing,
    configVersion: config.version,
  });
  const peers = createPeerTable({
    clock,
    random,
    log,
    store,
    peerClient,
    self: describeSelf,
    regionLoad: spill.summary,
    onExchange: spill.recordExchange,
    seedPeerUrls: settings.seedPeers,
    onPeer: (peer) => {
      void config.notice(peer);
    },
  });
  spill.follow(peers);
  const ranking = createEntryHostRanking({ self: describeSelf, peers });

  /** Calls all reachable peers of the region at once and returns the answers that arrive. */
  async function askRegion<Answer>(
    call: (peerUrl: string) => Promise<Answer>,
  ): Promise<readonly Answer[]> {
    const reachable = peers.livePeers(regionId);
    const results = await Promise.allSettled(reachable.map((peer) => call(peer.peerUrl)));
    return results.flatMap((result) => (result.status === 'fulfilled' ? [result.value] : []));
  }

  const entryHostCount = (): number => peers.livePeers(regionId).length + 1;
  const burn = createBurnCounters(clock);
  const ownBurn = (): HostBurn => ({ hostId, regionId, startedAtMs, minutes: burn.minutes() });
  const quarantine = createQuarantine({
    clock,
    log,
    holdMs: () => config.current().defaults.quarantine.holdMs,
    hasCrashed: createCrashProbe({ clock, readLoad }),
    share: (report) => askRegion((peerUrl) => peerClient.reportCrash(peerUrl, report)),
  });
  const inference = createInferenceGateway({
    clock,
    random,
    log,
    metrics,
    registry,
    dispatcher: createEngineDispatcher({
      clock,
      engineClient: routing.engineClient,
      quarantine,
    }),
    quarantine,
    chooseRoute: routing.chooseRoute,
    entryHostCount,
    admission: observeAdmissionWait(
      createRankAdmission({
        clock,
        servers: registry.servers,
        dispatchLimit: createSharedDispatchLimit(entryHostCount),
      }),
      clock,
      spill.admissionWaits,
    ),
    retryBudget: createRetryBudget(clock),
  });
  const spilling = createSpillGateway({
    clock,
    random,
    log,
    metrics,
    hostId,
    local: inference,
    forwardClient,
    decider: spill.decider,
    estimateLocal: spill.estimateLocal,
  });
  const inferThrough =
    (gateway: InferenceGateway) =>
    async (
      facts: CallerFacts,
      route: InferenceRoute,
      body: string,
      signal: AbortSignal,
    ): Promise<InferenceAnswer> =>
      gateway.handle(
        createInferenceRequest(facts, route, body, settings.secrets.recordKey),
        signal,
      );
  const serviceOptions = { clock, random, log, registry, serviceClient };
  const orders = createOrderExecutor({
    clock,
    log,
    self: { hostId, incarnation, regionId },
    recordKey: settings.secrets.recordKey,
    store,
    peerClient,
    findPeer: (peerId) => peers.peers().find((peer) => peer.hostId === peerId),
    entryHostUrls: ranking.entryHostUrls,
    dispatch: createOrderDispatch(serviceOptions),
    hasServer: ({ serviceName }) =>
      registry.servers().some((view) => view.accepting && view.entry.serviceName === serviceName),
  });
  const servicePath = createServiceGateway({
    dispatchRepeatable: createRepeatableDispatch(serviceOptions),
    orders,
  });
  const services = recordServices(servicePath, burn);
  const serviceLane = createServiceLane();
  const callerReader = createCallerReader({
    clock,
    hostId,
    regionId,
    configuration: config.current,
    knownRegions: ranking.knownRegions,
    entryHostUrls: ranking.entryHostUrls,
  });
  const orderApi = createOrderApi({
    self: { hostId, incarnation, regionId },
    orders,
    readForwarded: callerReader.readForwarded,
    isDraining: () => drain.state() === 'draining',
  });
  const peerListener = await createPeerListener({
    ...settings.peerListener,
    peerKey: settings.secrets.peerKey,
    api: {
      ...orderApi,
      receiveHeartbeat: peers.receive,
      currentConfig: config.stored,
      receiveCrash: quarantine.receive,
      burnCounters: ownBurn,
      servers: () => registry.servers().map(({ entry }) => entry),
      adoptConfig: (document) => {
        config.adopt(document);
        return config.revision();
      },
    },
    operators: {
      keys: settings.secrets.operatorKeys,
      api: {
        currentConfig: config.stored,
        propose: config.propose,
        burnReport: async () =>
          collectBurnReport({
            clock,
            document: config.current(),
            own: ownBurn(),
            peers,
            peerClient,
          }),
        status: () => describeFleet({ self: describeSelf, config, peers, registry }),
      },
    },
    // The gateway of the region, so that a forwarded request cannot leave this host again.
    forwardApi: {
      hostId,
      maxBodyBytes: MAX_BODY_BYTES,
      readForwarded(headers) {
        drain.requireAccepting();
        return callerReader.readForwarded(headers);
      },
      infer: inferThrough(inference),
    },
  });
  const callerListener = await createCallerListener({
    ...settings.callerListener,
    maxBodyBytes: MAX_BODY_BYTES,
    requestTimeoutMs: REQUEST_TIMEOUT_MS,
    api: {
      readCaller: callerReader.readCaller,
      infer: inferThrough(recordInference(spilling, burn, clock)),
      callService: (request, signal) =>
        serviceLane.run(request.facts, () => services.handle(request, signal), signal),
      issueOrderPermits: orderApi.issueOrderPermits,
      models: () => Object.keys(config.current().defaults.models),
      entryHosts: ranking.list,
      requireAccepting: drain.requireAccepting,
      readiness: () => ({
        ready: drain.state() === 'live' && config.version() > 0,
        reason: config.version() > 0 ? drain.state() : 'no-configuration',
      }),
    },
  });
  config.start();
  peers.start();
  registry.start();
  routing.start();
  const stopPublishing = publishDirectory({
    clock,
    log,
    directory:
      settings.clientDirectory === undefined
        ? undefined
        : createHttpClientDirectory({
            ...settings.clientDirectory,
            localAddress: settings.outgoingAddress,
          }),
    entry: () => ({ ...ranking.list(), regionId }),
  });
  log.info('started', { incarnation });

  return {
    async close() {
      await drain.run(callerListener, async () => {
        await peers.announce();
        await stopPublishing();
      });
      await callerListener.close();
      await orders.close();
      await peers.close();
      await Promise.all([registry.close(), routing.close(), config.close(), peerListener.close()]);
      await ports.close();
      log.info('stopped', {});
    },
  };
}

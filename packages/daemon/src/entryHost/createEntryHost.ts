import { randomInt, randomUUID } from 'node:crypto';
import {
  createCallerListener,
  createEtcdKeyValueStore,
  createHotShotsMetrics,
  createHttpClientDirectory,
  createHttpForwardClient,
  createHttpHostList,
  createHttpServiceClient,
  createNoMetrics,
  createOpenAiEngineClient,
  createPeerListener,
  createPinoLog,
  createTrpcPeerClient,
} from '@camphorbarrow/adapters';
import {
  asId,
  createCallerReader,
  createConfigKeeper,
  createInferenceGateway,
  createInferenceRequest,
  createPeerTable,
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
} from '@camphorbarrow/core';
import type {
  AvailabilityZoneId,
  CallerFacts,
  HostId,
  HostSettings,
  Incarnation,
  InferenceAnswer,
  InferenceGateway,
  InferenceRoute,
  LogSink,
  MetricsSink,
  PeerDescription,
  RegionId,
} from '@camphorbarrow/core';
import { createEntryHostRanking } from './createEntryHostRanking.js';
import { createRegionRouting } from './createRegionRouting.js';
import { createRegionSpill } from './createRegionSpill.js';
import { publishDirectory } from './publishDirectory.js';

export interface EntryHost {
  /** Graceful shutdown: steers callers away, then lets requests in flight end. */
  close(): Promise<void>;
}

const MAX_BODY_BYTES = 268_435_456;
const MAX_SEED = 2 ** 31;
const CONNECT_TIMEOUT_MS = 1_000;
const LOAD_TIMEOUT_MS = 1_000;
const PEER_TIMEOUT_MS = 1_000;
const REQUEST_TIMEOUT_MS = 15_000;

function createMetrics(settings: HostSettings, log: LogSink): MetricsSink {
  if (settings.metrics === undefined) {
    return createNoMetrics();
  }
  return createHotShotsMetrics({
    ...settings.metrics,
    tags: { host: settings.host.hostId, region: settings.host.region },
    onError: (error) => log.warn('metrics-unavailable', { error: error.name }),
  });
}

/** Wires and starts one entry host. */
export async function createEntryHost(settings: HostSettings): Promise<EntryHost> {
  const hostId = asId<HostId>(settings.host.hostId);
  const regionId = asId<RegionId>(settings.host.region);
  const incarnation = asId<Incarnation>(randomUUID());
  const clock = createSystemClock();
  const random = createSeededRandom(randomInt(MAX_SEED));
  const log = createPinoLog({ level: settings.log.level, base: { hostId, regionId } });
  const metrics = createMetrics(settings, log);
  const store = createEtcdKeyValueStore(settings.keyValueService);
  const hostList = createHttpHostList(settings.hostList);
  const engineClient = createOpenAiEngineClient({ connectTimeoutMs: CONNECT_TIMEOUT_MS });
  const serviceClient = createHttpServiceClient({ connectTimeoutMs: CONNECT_TIMEOUT_MS });
  const peerClient = createTrpcPeerClient({
    peerKey: settings.secrets.peerKey,
    timeoutMs: PEER_TIMEOUT_MS,
  });
  const config = createConfigKeeper({ clock, log, store });
  const startedAtMs = clock.nowMs();
  let state: PeerDescription['state'] = 'live';

  const describeSelf = (): Omit<PeerDescription, 'sequence'> => ({
    hostId,
    incarnation,
    startedAtMs,
    regionId,
    availabilityZoneId: asId<AvailabilityZoneId>(settings.host.availabilityZone),
    callerUrl: `http://${settings.callerListener.address}:${settings.callerListener.port}`,
    peerUrl: `http://${settings.peerListener.address}:${settings.peerListener.port}`,
    state,
    configVersion: config.version(),
  });

  const registry = createServerRegistry({
    clock,
    log,
    hostList,
    isUsed: (entry) => entry.regionId === regionId,
    readLoad: (entry) => engineClient.readLoad(entry.baseUrl, LOAD_TIMEOUT_MS),
  });
  const routing = createRegionRouting({ clock, log, registry, engineClient });
  const spill = createRegionSpill({
    clock,
    regionId,
    registry,
    routing,
    configVersion: config.version,
  });
  const forwardClient = createHttpForwardClient({ peerKey: settings.secrets.peerKey });

  async function fetchNewerConfig(peer: PeerDescription): Promise<void> {
    if (peer.configVersion <= config.version()) {
      return;
    }
    const document = await peerClient.fetchConfig(peer.peerUrl).catch(() => undefined);
    if (document !== undefined) {
      config.adopt(document);
    }
  }

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
      void fetchNewerConfig(peer);
    },
  });
  spill.follow(peers);
  const entryHostCount = (): number => peers.livePeers(regionId).length + 1;
  const ranking = createEntryHostRanking({ self: describeSelf, peers });
  const inference = createInferenceGateway({
    clock,
    random,
    log,
    metrics,
    registry,
    engineClient: routing.engineClient,
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
  const services = createServiceGateway({ random, registry, serviceClient });
  const serviceLane = createServiceLane();
  const callerReader = createCallerReader({
    clock,
    hostId,
    regionId,
    configuration: config.current,
    knownRegions: ranking.knownRegions,
    entryHostUrls: ranking.entryHostUrls,
  });
  const peerListener = await createPeerListener({
    ...settings.peerListener,
    peerKey: settings.secrets.peerKey,
    api: {
      receiveHeartbeat: peers.receive,
      currentConfig: config.stored,
      adoptConfig: (document) => {
        config.adopt(document);
        return config.version();
      },
    },
    // The gateway of the region, so that a forwarded request cannot leave this host again.
    forwardApi: {
      hostId,
      maxBodyBytes: MAX_BODY_BYTES,
      readForwarded: callerReader.readForwarded,
      infer: inferThrough(inference),
    },
  });
  const callerListener = await createCallerListener({
    ...settings.callerListener,
    maxBodyBytes: MAX_BODY_BYTES,
    requestTimeoutMs: REQUEST_TIMEOUT_MS,
    api: {
      readCaller: callerReader.readCaller,
      infer: inferThrough(spilling),
      callService: (request, signal) =>
        serviceLane.run(request.facts, () => services.handle(request, signal), signal),
      models: () => Object.keys(config.current().defaults.models),
      entryHosts: ranking.list,
      readiness: () => ({
        ready: state === 'live' && config.version() > 0,
        reason: config.version() > 0 ? state : 'no-configuration',
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
        : createHttpClientDirectory(settings.clientDirectory),
    entry: () => ({ ...ranking.list(), regionId }),
  });
  log.info('started', { incarnation });

  return {
    async close() {
      state = 'draining';
      log.info('draining', {});
      await peers.announce();
      await stopPublishing();
      await clock.sleep(settings.drain.steerMs);
      await callerListener.close();
      await peers.close();
      await Promise.all([registry.close(), routing.close(), config.close(), peerListener.close()]);
      await Promise.all([
        store.close(),
        hostList.close(),
        engineClient.close(),
        serviceClient.close(),
        peerClient.close(),
        forwardClient.close(),
        metrics.close(),
      ]);
      log.info('stopped', {});
    },
  };
}

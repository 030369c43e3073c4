import { randomInt, randomUUID } from 'node:crypto';
import {
  createCallerListener,
  createEtcdKeyValueStore,
  createHotShotsMetrics,
  createHttpClientDirectory,
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
  chooseLeastLoaded,
  createCallerReader,
  createConfigKeeper,
  createInferenceGateway,
  createInferenceRequest,
  createCrashProbe,
  createPeerBackedHostList,
  createPeerTable,
  createQuarantine,
  createSeededRandom,
  createServerRegistry,
  createServiceGateway,
  createSystemClock,
} from '@camphorbarrow/core';
import type {
  AvailabilityZoneId,
  HostId,
  HostListEntry,
  HostSettings,
  Incarnation,
  LoadReport,
  LogSink,
  MetricsSink,
  PeerDescription,
  RegionId,
} from '@camphorbarrow/core';
import { createDrain } from './createDrain.js';
import { announcedUrl } from './announcedUrl.js';
import { createEntryHostRanking } from './createEntryHostRanking.js';
import { describeFleet } from './describeFleet.js';
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
  const localAddress = settings.outgoingAddress;
  const clock = createSystemClock();
  const random = createSeededRandom(randomInt(MAX_SEED));
  const log = createPinoLog({ level: settings.log.level, base: { hostId, regionId } });
  const metrics = createMetrics(settings, log);
  const store = createEtcdKeyValueStore({ ...settings.keyValueService, localAddress });
  const engineClient = createOpenAiEngineClient({
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    localAddress,
  });
  const serviceClient = createHttpServiceClient({
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    localAddress,
  });
  const peerClient = createTrpcPeerClient({
    peerKey: settings.secrets.peerKey,
    timeoutMs: PEER_TIMEOUT_MS,
    localAddress,
  });
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
  const startedAtMs = clock.nowMs();
  const drain = createDrain({ clock, log, settings: settings.drain });

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

  const peers = createPeerTable({
    clock,
    random,
    log,
    store,
    peerClient,
    self: describeSelf,
    seedPeerUrls: settings.seedPeers,
    onPeer: (peer) => {
      void config.notice(peer);
    },
  });
  /** Calls all reachable peers of the region at once and returns the answers that arrive. */
  async function askRegion<Answer>(
    call: (peerUrl: string) => Promise<Answer>,
  ): Promise<readonly Answer[]> {
    const reachable = peers.livePeers(regionId);
    const results = await Promise.allSettled(reachable.map((peer) => call(peer.peerUrl)));
    return results.flatMap((result) => (result.status === 'fulfilled' ? [result.value] : []));
  }

  const hostList = createPeerBackedHostList({
    log,
    platform: createHttpHostList({ ...settings.hostList, localAddress }),
    askPeers: () => askRegion((peerUrl) => peerClient.fetchServers(peerUrl)),
  });
  const ranking = createEntryHostRanking({ self: describeSelf, peers });
  const readLoad = (entry: HostListEntry): Promise<LoadReport> =>
    engineClient.readLoad(entry.baseUrl, LOAD_TIMEOUT_MS);
  const quarantine = createQuarantine({
    clock,
    log,
    holdMs: () => config.current().defaults.quarantine.holdMs,
    hasCrashed: createCrashProbe({ clock, readLoad }),
    share: (report) => askRegion((peerUrl) => peerClient.reportCrash(peerUrl, report)),
  });
  const registry = createServerRegistry({
    clock,
    log,
    hostList,
    isUsed: (entry) => entry.regionId === regionId,
    readLoad,
  });
  const entryHostCount = (): number => peers.livePeers(regionId).length + 1;
  const inference = createInferenceGateway({
    clock,
    random,
    log,
    metrics,
    registry,
    engineClient,
    chooseRoute: chooseLeastLoaded,
    entryHostCount,
  });
  const services = createServiceGateway({ random, registry, serviceClient });
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
      receiveCrash: quarantine.receive,
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
        status: () => describeFleet({ self: describeSelf, config, peers, registry }),
      },
    },
  });
  const callerListener = await createCallerListener({
    ...settings.callerListener,
    maxBodyBytes: MAX_BODY_BYTES,
    requestTimeoutMs: REQUEST_TIMEOUT_MS,
    api: {
      readCaller: callerReader.readCaller,
      infer: async (facts, route, body, signal) =>
        inference.handle(
          createInferenceRequest(facts, route, body, settings.secrets.recordKey),
          signal,
        ),
      callService: services.handle,
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
  const stopPublishing = publishDirectory({
    clock,
    log,
    directory:
      settings.clientDirectory === undefined
        ? undefined
        : createHttpClientDirectory({ ...settings.clientDirectory, localAddress }),
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
      await peers.close();
      await Promise.all([registry.close(), config.close(), peerListener.close()]);
      await Promise.all([
        store.close(),
        hostList.close(),
        engineClient.close(),
        serviceClient.close(),
        peerClient.close(),
        metrics.close(),
      ]);
      log.info('stopped', {});
    },
  };
}

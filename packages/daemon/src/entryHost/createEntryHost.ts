import { randomInt, randomUUID } from 'node:crypto';
import {
  createCallerListener,
  createHttpClientDirectory,
  createPeerListener,
} from '@camphorbarrow/adapters';
import {
  asId,
  createBurnCounters,
  createRequestContextReader,
  createInferenceRequest,
  createSeededRandom,
  createSystemClock,
  meterResults,
  recordInferenceResults,
} from '@camphorbarrow/core';
import type {
  RequestContext,
  HostBurnCounts,
  HostId,
  HostSettings,
  Incarnation,
  InferenceAnswer,
  InferenceGateway,
  InferenceRoute,
  RegionId,
} from '@camphorbarrow/core';
import type { HostContext } from './HostContext.js';
import { collectBurnReport } from './collectBurnReport.js';
import { createDrain } from './createDrain.js';
import { createEngineOrders } from './createEngineOrders.js';
import { createInferencePath } from './createInferencePath.js';
import { createOrderApi } from './createOrderApi.js';
import { createPorts } from './createPorts.js';
import { createRegionComponents } from './createRegionComponents.js';
import { createServicePath } from './createServicePath.js';
import { describeFleet } from './describeFleet.js';
import { describeReadiness } from './describeReadiness.js';
import { publishDirectory } from './publishDirectory.js';
import { reportGauges } from './reportGauges.js';

export interface EntryHost {
  /** Shuts down gracefully: steers callers to other hosts, then waits for requests in flight. */
  close(): Promise<void>;
}

const MAX_BODY_BYTES = 268_435_456;
const MAX_SEED = 2 ** 31;
/** Above the default `timeouts.bodyTimeoutMs`, so that a slow sender gets the typed error first. */
const REQUEST_TIMEOUT_MS = 120_000;

function createContext(settings: HostSettings): HostContext {
  const clock = createSystemClock();
  const ports = createPorts(settings);
  return {
    settings,
    hostId: asId<HostId>(settings.host.hostId),
    regionId: asId<RegionId>(settings.host.region),
    incarnation: asId<Incarnation>(randomUUID()),
    startedAtMs: clock.nowMs(),
    clock,
    random: createSeededRandom(randomInt(MAX_SEED)),
    ports,
    drain: createDrain({ clock, log: ports.log, settings: settings.drain }),
  };
}

/** Creates and starts one entry host. */
export async function createEntryHost(settings: HostSettings): Promise<EntryHost> {
  const context = createContext(settings);
  const { hostId, regionId, incarnation, startedAtMs, clock, ports, drain } = context;
  const { log, metrics, peerClient } = ports;
  const region = createRegionComponents(context);
  const { config, registry, peers, ranking, describeSelf } = region;
  const burn = meterResults(createBurnCounters(clock), metrics);
  const ownBurn = (): HostBurnCounts => ({
    hostId,
    regionId,
    startedAtMs,
    minutes: burn.minutes(),
  });
  const { quarantine, localGateway, spillGateway } = createInferencePath(context, region);
  const { orders, services } = createServicePath(context, region, burn);
  const inferWith =
    (gateway: InferenceGateway) =>
    async (
      requestContext: RequestContext,
      route: InferenceRoute,
      body: string,
      signal: AbortSignal,
    ): Promise<InferenceAnswer> => {
      const { recordKey } = settings.secrets;
      const request = createInferenceRequest(requestContext, route, body, recordKey);
      drain.requireAccepting(request.deadlineAtMs);
      return gateway.handle(request, signal);
    };
  const callerReader = createRequestContextReader({
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
    readForwardedRequest: callerReader.readForwardedRequest,
    isDraining: () => drain.state() === 'draining',
  });
  const peerListener = await createPeerListener({
    clock,
    ...settings.peerListener,
    peerKey: settings.secrets.peerKey,
    api: {
      ...orderApi,
      receiveHeartbeat: peers.receive,
      currentConfig: config.document,
      receiveCrash: quarantine.mergePeerReport,
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
        currentConfig: config.document,
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
    // Uses the local gateway, so that a forwarded request is never forwarded again.
    forwardApi: {
      hostId,
      maxBodyBytes: MAX_BODY_BYTES,
      readForwardedRequest(headers) {
        drain.requireAccepting();
        return callerReader.readForwardedRequest(headers);
      },
      infer: inferWith(localGateway),
    },
  });
  const callerListener = await createCallerListener({
    clock,
    ...settings.callerListener,
    maxBodyBytes: MAX_BODY_BYTES,
    requestTimeoutMs: REQUEST_TIMEOUT_MS,
    api: {
      readCallerRequest: callerReader.readCallerRequest,
      infer: inferWith(recordInferenceResults(spillGateway, burn, clock)),
      callService: services.handle,
      issueOrderPermits: orderApi.issueOrderPermits,
      models: () => Object.keys(config.current().defaults.models),
      entryHosts: ranking.list,
      requireAccepting: () => drain.requireAccepting(),
      readiness: () =>
        describeReadiness({
          drainState: drain.state(),
          hasConfiguration: config.version() > 0,
          hasReadHostList: registry.hasReadList(),
        }),
    },
  });
  const engineOrders = createEngineOrders(context, region);
  region.start();
  engineOrders.start();
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
  const gauges = reportGauges({ clock, metrics, region, callerListener });
  log.info('started', { incarnation });

  return {
    async close() {
      await drain.run(callerListener, async () => {
        await peers.announce();
        await stopPublishing();
      });
      await callerListener.close();
      await orders.close();
      await Promise.all([gauges.close(), engineOrders.close()]);
      await Promise.all([region.close(), peerListener.close()]);
      await ports.close();
      log.info('stopped', {});
    },
  };
}

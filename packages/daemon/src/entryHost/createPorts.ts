import {
  createEtcdKeyValueStore,
  createHotShotsMetrics,
  createHttpForwardClient,
  createHttpHostList,
  createHttpServiceClient,
  createNoMetrics,
  createOpenAiEngineClient,
  createPinoLog,
  createTrpcPeerClient,
} from '@camphorbarrow/adapters';
import type {
  EngineClient,
  ForwardClient,
  HostList,
  HostSettings,
  KeyValueStore,
  LogSink,
  MetricsSink,
  PeerClient,
  ServiceClient,
} from '@camphorbarrow/core';

/** Adapters of one entry host. */
export interface Ports {
  readonly log: LogSink;
  readonly metrics: MetricsSink;
  readonly store: KeyValueStore;
  readonly hostList: HostList;
  readonly engineClient: EngineClient;
  readonly serviceClient: ServiceClient;
  readonly peerClient: PeerClient;
  readonly forwardClient: ForwardClient;
  close(): Promise<void>;
}

const CONNECT_TIMEOUT_MS = 1_000;
const PEER_TIMEOUT_MS = 1_000;

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

/** Creates the adapters that the settings of an entry host name. */
export function createPorts(settings: HostSettings): Ports {
  const { hostId, region } = settings.host;
  const { peerKey } = settings.secrets;
  const localAddress = settings.outgoingAddress;
  const connectTimeoutMs = CONNECT_TIMEOUT_MS;
  const log = createPinoLog({ level: settings.log.level, base: { hostId, regionId: region } });
  const metrics = createMetrics(settings, log);
  const clients = {
    store: createEtcdKeyValueStore({ ...settings.keyValueService, localAddress }),
    hostList: createHttpHostList({ ...settings.hostList, localAddress, log }),
    engineClient: createOpenAiEngineClient({ connectTimeoutMs, localAddress }),
    serviceClient: createHttpServiceClient({ connectTimeoutMs, localAddress }),
    peerClient: createTrpcPeerClient({ peerKey, timeoutMs: PEER_TIMEOUT_MS, localAddress }),
    forwardClient: createHttpForwardClient({ peerKey, localAddress }),
  };
  return {
    log,
    metrics,
    ...clients,
    async close() {
      await Promise.all(Object.values(clients).map((client) => client.close()));
      await metrics.close();
    },
  };
}

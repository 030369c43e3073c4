import { randomUUID } from 'node:crypto';
import { setMaxListeners } from 'node:events';
import { runAfterPoll } from '@camphorbarrow/core';
import type { HostId } from '@camphorbarrow/core';
import { ALLOWANCE_UPDATE_INTERVAL_MS } from '../allowances/createSharedAllowances.js';
import { logFailures } from '../errors/logFailures.js';
import { createChangeDecoder } from '../fleet/createChangeDecoder.js';
import { createFleetView } from '../fleet/createFleetView.js';
import { memoizeLatest } from '../fleet/memoizeLatest.js';
import type { FleetView } from '../fleet/createFleetView.js';
import type { ChoiceExplainer } from '../routing/createChoiceExplainer.js';
import { createConnectionLimit } from '../ingress/createConnectionLimit.js';
import type { ConnectionLimit } from '../ingress/createConnectionLimit.js';
import { createInFlightTracker } from '../ingress/createInFlightTracker.js';
import { createListener } from '../ingress/createListener.js';
import { createRequestHandler } from '../ingress/createRequestHandler.js';
import type { RequestHandler } from '../ingress/createRequestHandler.js';
import { createPeerRegistry } from '../peers/createPeerRegistry.js';
import type { HostState } from '../peers/PeerHeartbeat.js';
import { createRegionStoreReaders } from '../peers/createRegionStoreReaders.js';
import { createStoreUpdateExchange } from '../peers/createStoreUpdateExchange.js';
import { createDrainState } from './createDrainState.js';
import type { DrainProgress } from './createDrainState.js';
import { createGatewayContext } from './createGatewayContext.js';
import { createHousekeeping } from './createHousekeeping.js';
import { createReadiness } from './createReadiness.js';
import type { ReadinessNeed, UnmetNeed } from './createReadiness.js';
import { describeMissingConfiguration } from './describeMissingConfiguration.js';
import type { EntryHostOptions } from './EntryHostOptions.js';
import { createHostDirectory } from './createHostDirectory.js';
import type { HostDirectory } from './createHostDirectory.js';
import { createHostLoadMonitor } from './createHostLoadMonitor.js';
import { startHostHeartbeats } from './startHostHeartbeats.js';
import { startHostTasks } from './startHostTasks.js';

const PEER_LISTENER_IDLE_TIMEOUT_MS = 30_000;
/** Timeout for removing the registration from the store; otherwise it expires with its lease. */
const UNREGISTER_TIMEOUT_MS = 200;
/** Interval at which state of removed servers and peers is dropped. */
const HOUSEKEEPING_INTERVAL_MS = 1_000;
/** Interval at which new software versions of servers are noticed. */
const STREAM_VERSION_UPDATE_INTERVAL_MS = 250;
/** Number of heartbeats after an evacuation until a server's report of being cold is used. */
const COLD_HEARTBEAT_COUNT = 2;

export interface EntryHost {
  readonly view: FleetView;
  /** Whether this host accepts callers' connections. */
  isReady(): boolean;
  /** What this host lacks to be ready; empty for a host that is ready. */
  unmetNeeds(): readonly UnmetNeed[];
  /** Hosts that a caller in the region should currently use. */
  readonly directoryHosts: HostDirectory;
  /** Explains where a request would go now, without sending it. */
  readonly explainChoice: ChoiceExplainer;
  /** Drains and stops the host; further calls wait for the first. */
  close(): Promise<void>;
}

/**
 * Starts an entry host: listeners, heartbeats, and the tasks that follow the store. It is not ready
 * until it has the endpoints for callers and peers; what does not need them runs meanwhile.
 */
export async function createEntryHost(options: EntryHostOptions): Promise<EntryHost> {
  const { clock, log, metrics, own, bounds, store, connectionMemory } = options;
  const stop = new AbortController();
  // Every task listens to the signal, including one for each engine; Node.js warns of more than ten
  // listeners.
  setMaxListeners(0, stop.signal);
  const drain = createDrainState(clock, () => bounds().graceMs);
  const peers = createPeerRegistry(clock, log, own.region, runAfterPoll);
  const view = createFleetView({
    clock,
    log,
    decode: createChangeDecoder({ log, metrics: options.metrics, decode: options.decodeChange }),
    regionOfZone: options.regionOfZone,
    coldAfterEvacuationMs: () => COLD_HEARTBEAT_COUNT * bounds().serverHeartbeatMs,
  });
  const regionHosts = memoizeLatest(view.hosts, (hosts): readonly HostId[] =>
    hosts.filter(({ region }) => region === own.region).map(({ id }) => id),
  );
  const ownIncarnation = randomUUID();
  const { context, serverView, explainChoice, allowances } = createGatewayContext({
    ...options,
    peers,
    view,
    ownIncarnation,
    isDraining: drain.isDraining,
    isClosing: drain.isRejectingRequests,
    closing: drain.closing,
  });
  const { serverConnections, peerConnections } = context;
  const inFlight = createInFlightTracker();

  const readinessNeeds: ReadinessNeed[] = [
    {
      name: 'configuration',
      isMet: () => view.table() !== undefined,
      reason: () => describeMissingConfiguration(view),
    },
  ];
  /** Adds an endpoint without which callers are better served by other hosts. */
  const requireEndpoint = (name: ReadinessNeed['name'], isMet: () => boolean): void => {
    readinessNeeds.push({ name, isMet, reason: () => 'the endpoint is not open' });
  };
  const readiness = createReadiness({
    clock,
    log,
    metrics,
    needs: readinessNeeds,
    configurationVersion: () => view.table()?.version,
  });

  function currentState(): HostState {
    if (drain.isDraining()) {
      return drain.isRejectingRequests() ? 'closing' : 'draining';
    }
    return readiness.isMet() ? 'ready' : 'starting';
  }

  const directoryHosts = createHostDirectory({ own, peers, view, currentState });

  const loadMonitor = createHostLoadMonitor(options);
  const callerLimit = createConnectionLimit(options.maxConnections);
  const peerLimit = createConnectionLimit(options.maxPeerConnections);
  const createHandler = (
    source: 'callers' | 'peers',
    connectionLimit: ConnectionLimit,
  ): RequestHandler =>
    inFlight.wrap(
      createRequestHandler({
        context,
        view,
        connectionLimit,
        connectionMemory,
        isDraining: drain.isDraining,
        acceptsRequest: drain.acceptsRequest,
        admitsRank: (rank) => !context.controlsOverload() || loadMonitor.admits(rank),
        isNeighbour: (hostId) =>
          peers.aliveIn(own.region).some(({ heartbeat }) => heartbeat.host.id === hostId),
        source,
      }),
    );

  const storeUpdates = createStoreUpdateExchange(view, peerConnections, options.controlBodies);
  const storeReaders = createRegionStoreReaders({
    clock,
    log,
    ownId: own.id,
    ownCores: own.cores,
    region: own.region,
    view,
    peers,
    fetchStoreUpdate: storeUpdates.fetch,
  });
  const callerListener = await createListener({
    name: 'callers',
    endpoint: own.callers,
    clock,
    log,
    metrics,
    handle: createHandler('callers', callerLimit),
    maxConnections: options.maxConnections,
    onAccept: loadMonitor.recordAccept,
    connectionMemory,
    isMemoryShort: options.requestBodies.isShort,
  });
  const peerListener = await createListener({
    name: 'peers',
    endpoint: own.peers,
    clock,
    log,
    metrics,
    handle: storeUpdates.wrap(createHandler('peers', peerLimit)),
    maxConnections: options.maxPeerConnections,
    connectionMemory,
    isMemoryShort: options.requestBodies.isShort,
    idleTimeoutMs: PEER_LISTENER_IDLE_TIMEOUT_MS,
  });

  const listeners = [callerListener, peerListener];
  requireEndpoint('callers', callerListener.isListening);
  requireEndpoint('peers', peerListener.isListening);
  callerLimit.apply(callerListener.server);
  peerLimit.apply(peerListener.server);
  view.onConfiguration(({ limits }) => callerListener.applyLimits(limits));

  const heartbeats = startHostHeartbeats({
    ...options,
    context,
    ownIncarnation,
    peers,
    view,
    serverView,
    allowances,
    drain,
    currentState,
    signal: stop.signal,
  });
  requireEndpoint('heartbeats', heartbeats.isBound);

  const runHousekeeping = createHousekeeping({
    clock,
    metrics: options.metrics,
    context,
    view,
    peers,
    serverView,
    connectionMemory,
    inFlight: inFlight.count,
    applyLimits: callerListener.applyLimits,
    reportReadiness: () => {
      if (!drain.isDraining()) {
        readiness.report();
      }
    },
  });
  const housekeeping = setInterval(
    logFailures(log, 'housekeeping-failed', runHousekeeping),
    HOUSEKEEPING_INTERVAL_MS,
  );

  const streamVersionUpdates = setInterval(
    logFailures(log, 'stream-version-update-failed', () => {
      context.serverClaims.update();
      context.streamVersions.update();
    }),
    STREAM_VERSION_UPDATE_INTERVAL_MS,
  );

  const allowanceUpdates = setInterval(
    // Waits must not end while answers are unread.
    () => runAfterPoll(logFailures(log, 'allowance-update-failed', allowances.update)),
    ALLOWANCE_UPDATE_INTERVAL_MS,
  );

  const tasks = startHostTasks({
    ...options,
    context,
    view,
    peers,
    fetchStoreUpdate: storeUpdates.fetch,
    syncFromPeer: storeReaders.syncFromReader,
    regionHosts,
    signal: stop.signal,
  });

  const announceState = logFailures(log, 'heartbeat-round-failed', () => {
    heartbeats.sendToAll();
  });
  let closing: Promise<void> | undefined;

  async function drainAndStop(): Promise<void> {
    drain.start(loadMonitor.pendingSinceMs());
    announceState();
    const describeDrain = (): DrainProgress => drain.describe(inFlight.count());
    log.info('drain-began', { ...describeDrain() });
    await drain.waitUntilDrained(inFlight.count);
    await Promise.all(listeners.map((listener) => listener.stopListening()));
    log.info('drain-ended', { ...describeDrain() });
    drain.startClosing();
    announceState();
    stop.abort();
    await Promise.race([Promise.all(tasks), clock.sleep(UNREGISTER_TIMEOUT_MS)]);
    await drain.waitUntilFlushed(() =>
      listeners.reduce((sum, { lingeringCount }) => sum + lingeringCount(), inFlight.count()),
    );
    log.info('connections-closed', { ...describeDrain() });
    options.metrics.increment(
      'incomplete_responses',
      { kind: 'unknown', failure: 'none', stop: 'shutdown' },
      inFlight.count(),
    );
    [housekeeping, streamVersionUpdates, allowanceUpdates].forEach((timer) => clearInterval(timer));
    loadMonitor.close();
    heartbeats.close();
    listeners.forEach((listener) => listener.close());
    context.serverLinks.close();
    serverConnections.close();
    peerConnections.close();
    store.close();
  }

  return {
    view,
    isReady: () => currentState() === 'ready',
    unmetNeeds: readiness.unmet,
    directoryHosts,
    explainChoice,
    close() {
      closing ??= drainAndStop();
      return closing;
    },
  };
}

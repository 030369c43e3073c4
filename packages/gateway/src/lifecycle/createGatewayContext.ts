import { createDispatchQueue, createPartSuspicion } from '@camphorbarrow/core';
import type { HostId, PromptPartKey } from '@camphorbarrow/core';
import { createSharedAllowances } from '../allowances/createSharedAllowances.js';
import type { SharedAllowances } from '../allowances/createSharedAllowances.js';
import type { GatewayContext } from '../exchange/GatewayContext.js';
import type { FleetView } from '../fleet/createFleetView.js';
import { memoizeLatest } from '../fleet/memoizeLatest.js';
import { createConcurrencyShares } from '../limits/createConcurrencyShares.js';
import { createCrashGuard } from '../limits/createCrashGuard.js';
import { createLeavingServers } from '../limits/createLeavingServers.js';
import { createPartTrials } from '../limits/createPartTrials.js';
import { createRejectionLimits } from '../limits/createRejectionLimits.js';
import { createServerLimits } from '../limits/createServerLimits.js';
import { createServerPauses } from '../limits/createServerPauses.js';
import { createServerRateLimiter } from '../limits/createServerRateLimiter.js';
import { createRetryBudget } from '../limits/createRetryBudget.js';
import type { ServerState } from '../model/ServerState.js';
import type { PeerRegistry } from '../peers/createPeerRegistry.js';
import { createTransitTracker } from '../peers/createTransitTracker.js';
import { createChoiceExplainer } from '../routing/createChoiceExplainer.js';
import type { ChoiceExplainer } from '../routing/createChoiceExplainer.js';
import { createAdmissionQueue } from '../overload/createAdmissionQueue.js';
import { createLateReturns } from '../overload/createLateReturns.js';
import { createOverloadControl } from '../overload/createOverloadControl.js';
import { createReturnSchedule } from '../overload/createReturnSchedule.js';
import { createSendRate } from '../overload/createSendRate.js';
import { createBoundRegions } from '../routing/createBoundRegions.js';
import { createContention } from '../routing/createContention.js';
import type { Contention } from '../routing/createContention.js';
import { createLoadTracker } from '../routing/createLoadTracker.js';
import { createLocalChooser } from '../routing/createLocalChooser.js';
import { createOutcomeTracker } from '../routing/createOutcomeTracker.js';
import { createOutputLengthEstimator } from '../routing/createOutputLengthEstimator.js';
import { createPaceTracker } from '../routing/createPaceTracker.js';
import { createPrefixCacheTracker } from '../routing/createPrefixCacheTracker.js';
import { createRegionChooser } from '../routing/createRegionChooser.js';
import { createRouter } from '../routing/createRouter.js';
import { createServerHealth } from '../routing/createServerHealth.js';
import { createServerView } from '../routing/createServerView.js';
import type { ServerView } from '../routing/createServerView.js';
import { createSpeedTracker } from '../routing/createSpeedTracker.js';
import { createUnseenSends } from '../routing/createUnseenSends.js';
import { createRouteMoves } from '../streams/createRouteMoves.js';
import { createEndChecks } from '../streams/createEndChecks.js';
import { createServerClaims } from '../streams/createServerClaims.js';
import { createServerStarts } from '../streams/createServerStarts.js';
import { createStreamVersions } from '../streams/createStreamVersions.js';
import { createConnectionPools } from '../upstream/createConnectionPools.js';
import { createNeighbourEvidence } from '../upstream/createNeighbourEvidence.js';
import { createServerLinks } from '../upstream/createServerLinks.js';
import { tryConnect } from '../upstream/tryConnect.js';
import type { EntryHostOptions } from './EntryHostOptions.js';

/** Idle timeout of connections to servers that announce none. */
const SERVER_IDLE_TIMEOUT_MS = 4_000;
/** Idle timeout of connections to peers; a new connection costs a round trip between regions. */
const PEER_IDLE_TIMEOUT_MS = 25_000;

export interface GatewayContextOptions extends Pick<
  EntryHostOptions,
  | 'clock'
  | 'random'
  | 'log'
  | 'metrics'
  | 'codec'
  | 'createServerReports'
  | 'own'
  | 'bounds'
  | 'requestBodies'
> {
  readonly peers: PeerRegistry;
  readonly view: FleetView;
  readonly ownIncarnation: string;
  /** Whether this host is draining. */
  readonly isDraining: () => boolean;
  /** Whether this host rejects new requests before its process ends. */
  readonly isClosing: () => boolean;
  /** Aborts when requests in flight have to end. */
  readonly closing: AbortSignal;
}

/**
 * Context of request handling, what heartbeats and operators are told of it, and the allowances that
 * exchange messages with other hosts.
 */
export interface GatewayContextParts {
  readonly context: GatewayContext;
  readonly serverView: ServerView;
  readonly explainChoice: ChoiceExplainer;
  readonly allowances: SharedAllowances;
}

/** Creates the routing, limiting and connection state of one entry host. */
export function createGatewayContext(options: GatewayContextOptions): GatewayContextParts {
  const { clock, random, log, metrics, codec, own, bounds, peers, view } = options;
  const { region } = own;
  const loads = createLoadTracker(clock, () => peers.aliveIn(region));
  const unseenSends = createUnseenSends(clock, () => peers.aliveIn(region));
  const speeds = createSpeedTracker();
  const paces = createPaceTracker(clock, () => peers.aliveIn(region));
  const outcomes = createOutcomeTracker(clock, () => peers.aliveIn(region));
  const health = createServerHealth(clock, view.confirmedAtMs);
  const prefixes = createPrefixCacheTracker(clock);
  const serverLimits = createServerLimits({ clock, log, metrics });
  const leavingServers = createLeavingServers({ clock, log, metrics });
  const serverPauses = createServerPauses({ clock, log, metrics });
  const rejectionLimits = createRejectionLimits({ clock, log, metrics });
  const regionHosts = memoizeLatest(view.hosts, (registered) =>
    registered.filter((host) => host.region === region).map(({ id }) => id),
  );
  const concurrencyShares = createConcurrencyShares({
    clock,
    log,
    metrics,
    ownId: own.id,
    regionHosts,
    loads,
    limitOf: rejectionLimits.limitOf,
  });
  const serverRateLimiter = createServerRateLimiter({
    clock,
    ownId: own.id,
    regionHosts,
    limitOf: serverLimits.limitOf,
    onLimitedSend(send) {
      const viewAgeMs = Math.round(clock.monotonicMs() - view.confirmedAtMs());
      log.info('rate-limited-send', { ...send, viewAgeMs });
      metrics.increment('rate_limited_sends', {
        limit: send.limit,
        source: send.coldSource ?? 'response',
      });
    },
  });
  const serverConnections = createConnectionPools(SERVER_IDLE_TIMEOUT_MS);
  const hasNeighbourReached = createNeighbourEvidence(() => peers.aliveIn(region));
  const serverLinks = createServerLinks({
    clock,
    log,
    metrics,
    servers: () => view.servers.all().filter((server) => server.region === region),
    connect: tryConnect,
    onRestored(server, { failedAtMs, wasCutOff }) {
      if (!wasCutOff || !hasNeighbourReached(server, failedAtMs)) {
        health.recordPossibleLoss(server.incarnation, failedAtMs);
      }
    },
    hasIdleConnection: ({ incarnation }) => serverConnections.hasIdle(incarnation),
  });
  const isAvailable = (server: ServerState): boolean =>
    serverLinks.isOpen(server) &&
    !leavingServers.isLeaving(server) &&
    serverPauses.remainingMs(server) === 0;
  const mayCallServer = (server: ServerState): boolean =>
    isAvailable(server) && serverLimits.limitOf(server) === undefined;
  const serverStarts = createServerStarts({
    clock,
    log,
    region,
    reports: options.createServerReports(serverConnections),
    mayAsk: mayCallServer,
    takeTurn(server) {
      const hasTurn = isAvailable(server) && serverRateLimiter.permits(server, 0);
      if (hasTurn) {
        serverRateLimiter.recordSend(server);
      }
      return hasTurn;
    },
  });
  const serverClaims = createServerClaims({
    clock,
    log,
    metrics,
    view,
    starts: serverStarts,
    heartbeatMs: () => bounds().serverHeartbeatMs,
  });
  const serverView = createServerView({
    clock,
    region,
    view,
    loads,
    speeds,
    paces,
    health,
    serverLinks,
    serverLimits,
    concurrencyShares,
    leavingServers,
    serverPauses,
    isReplaced: serverStarts.isReplaced,
  });
  const chooseLocal = createLocalChooser({
    random,
    region,
    servers: serverView,
    peers,
    loads,
    unseenSends,
    speeds,
    paces,
    outcomes,
    health,
    prefixes,
    serverRateLimiter,
    serverLimits,
    concurrencyShares,
  });
  const contention = createContention(createBoundRegions(view.table));
  const overload = createOverloadControl(clock, region);
  const controlsOverload = (): boolean => view.table()?.customers !== undefined;
  const contentionMs: Contention = (...query) => (controlsOverload() ? contention(...query) : 0);
  const sends = createSendRate(clock);
  const router = createRouter({
    chooseLocal,
    chooseRegion: createRegionChooser({
      clock,
      random,
      region,
      peers,
      loads,
      contentionMs,
      servers: view.servers.all,
    }),
    loads,
    region,
    contentionMs,
    slotUsageRatio: serverView.slotUsageRatio,
    overload: {
      shedCause: (request) => (controlsOverload() ? overload.shedCause(request) : undefined),
    },
  });
  const partSuspicion = createPartSuspicion(clock);
  // Hosts that have heard of different peers would each take themselves for the first.
  const hosts = (): readonly HostId[] => [
    ...new Set([
      own.id,
      ...view.hosts().map(({ id }) => id),
      ...peers.alive().map(({ heartbeat }) => heartbeat.host.id),
    ]),
  ];
  const crashGuard = createCrashGuard({
    clock,
    log,
    suspicion: partSuspicion,
    refusesConnections: async (server) => (await serverLinks.check(server)) === 'refused',
  });
  const trialSuspicion = {
    suspectsAmong: (keys: readonly PromptPartKey[]): readonly PromptPartKey[] => [
      ...partSuspicion.suspectsAmong(keys),
      ...keys.filter((key) => crashGuard.quarantineEndMs(key) !== -Infinity),
    ],
    suspectedSinceMs: (key: PromptPartKey): number =>
      Math.max(partSuspicion.suspectedSinceMs(key), crashGuard.quarantineEndMs(key)),
  };
  const streamVersions = createStreamVersions({
    clock,
    log,
    metrics,
    ownId: own.id,
    ownRegion: region,
    claims: serverClaims,
    view,
    peers,
  });
  const allowances = createSharedAllowances({
    clock,
    random,
    log,
    metrics,
    own,
    ownIncarnation: options.ownIncarnation,
    view,
    peers,
    bounds: () => bounds().allowances,
    isDraining: options.isDraining,
    isClosing: options.isClosing,
  });
  const context: GatewayContext = {
    ownId: own.id,
    ownIncarnation: options.ownIncarnation,
    clock,
    random,
    log,
    metrics,
    codec,
    requestBodies: options.requestBodies,
    router,
    findServer: view.servers.get,
    closing: options.closing,
    dispatchQueue: createDispatchQueue(),
    loads,
    unseenSends,
    speeds,
    paces,
    outcomes,
    outputLengths: createOutputLengthEstimator(),
    health,
    prefixes,
    serverRateLimiter,
    serverLimits,
    rejectionLimits,
    concurrencyShares,
    leavingServers,
    serverPauses,
    overload,
    controlsOverload,
    lateReturns: createLateReturns(clock),
    admissionQueue: createAdmissionQueue(clock),
    sends,
    returns: createReturnSchedule({ clock, random, sends }),
    allowances,
    retryBudget: createRetryBudget({
      clock,
      bounds,
      // A host that has just started has heard of few others.
      hostCount: () => Math.max(peers.known().length + 1, view.hosts().length),
    }),
    crashGuard,
    partSuspicion,
    partTrials: createPartTrials({ clock, suspicion: trialSuspicion, ownId: own.id, hosts }),
    streamVersions,
    routeMoves: createRouteMoves(clock, view),
    serverClaims,
    serverStarts,
    endChecks: createEndChecks({
      clock,
      log,
      metrics,
      starts: serverStarts,
      claims: serverClaims,
      connect: tryConnect,
    }),
    mayCallServer,
    transits: createTransitTracker(clock),
    serverLinks,
    serverConnections,
    peerConnections: createConnectionPools(PEER_IDLE_TIMEOUT_MS),
  };
  const { outputLengths } = context;
  const explainChoice = createChoiceExplainer({ view, router, chooseLocal, outputLengths });
  return { context, serverView, explainChoice, allowances };
}

import type {
  BodyMemory,
  Clock,
  DispatchQueue,
  HostId,
  LogSink,
  MetricsSink,
  PartSuspicion,
  RandomSource,
  ServerId,
} from '@camphorbarrow/core';
import type { Allowances } from '../allowances/Allowances.js';
import type { ConcurrencyShares } from '../limits/createConcurrencyShares.js';
import type { RetryBudget } from '../limits/createRetryBudget.js';
import type { CrashGuard } from '../limits/createCrashGuard.js';
import type { LeavingServers } from '../limits/createLeavingServers.js';
import type { PartTrials } from '../limits/createPartTrials.js';
import type { RejectionLimits } from '../limits/createRejectionLimits.js';
import type { ServerLimits } from '../limits/createServerLimits.js';
import type { ServerPauses } from '../limits/createServerPauses.js';
import type { ServerRateLimiter } from '../limits/createServerRateLimiter.js';
import type { WireCodec } from '../ports/WireCodec.js';
import type { AdmissionQueue } from '../overload/createAdmissionQueue.js';
import type { LateReturns } from '../overload/createLateReturns.js';
import type { OverloadControl } from '../overload/createOverloadControl.js';
import type { ReturnSchedule } from '../overload/createReturnSchedule.js';
import type { SendRate } from '../overload/createSendRate.js';
import type { ServerState } from '../model/ServerState.js';
import type { TransitTracker } from '../peers/createTransitTracker.js';
import type { LoadTracker } from '../routing/createLoadTracker.js';
import type { OutcomeTracker } from '../routing/createOutcomeTracker.js';
import type { OutputLengthEstimator } from '../routing/createOutputLengthEstimator.js';
import type { PaceTracker } from '../routing/createPaceTracker.js';
import type { PrefixCacheTracker } from '../routing/createPrefixCacheTracker.js';
import type { Router } from '../routing/createRouter.js';
import type { ServerHealth } from '../routing/createServerHealth.js';
import type { SpeedTracker } from '../routing/createSpeedTracker.js';
import type { UnseenSends } from '../routing/createUnseenSends.js';
import type { RouteMoves } from '../streams/createRouteMoves.js';
import type { EndChecks } from '../streams/createEndChecks.js';
import type { ServerClaims } from '../streams/createServerClaims.js';
import type { ServerStarts } from '../streams/createServerStarts.js';
import type { StreamVersions } from '../streams/createStreamVersions.js';
import type { ConnectionPools } from '../upstream/createConnectionPools.js';
import type { ServerLinks } from '../upstream/createServerLinks.js';

/** Services and state that request handling depends on. */
export interface GatewayContext {
  readonly ownId: HostId;
  /** Random id of this process, as in its heartbeats. */
  readonly ownIncarnation: string;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: LogSink;
  readonly metrics: MetricsSink;
  readonly codec: WireCodec;
  /** Holds the bodies of requests and of the responses to them. */
  readonly requestBodies: BodyMemory;
  readonly router: Router;
  /** Server that is listed with this id. */
  readonly findServer: (id: ServerId) => ServerState | undefined;
  /** Aborts when this host stops and ends the requests that are still in flight. */
  readonly closing: AbortSignal;
  readonly dispatchQueue: DispatchQueue;
  /** Load of the servers and peers. */
  readonly loads: LoadTracker;
  /** Requests of other hosts that the load of the servers does not contain yet. */
  readonly unseenSends: UnseenSends;
  /** Prefill speed and call duration of the servers. */
  readonly speeds: SpeedTracker;
  /** Time between the events of a server's streams. */
  readonly paces: PaceTracker;
  /** Which part of the requests each server fails. */
  readonly outcomes: OutcomeTracker;
  /** Number of events in the responses of a route. */
  readonly outputLengths: OutputLengthEstimator;
  readonly health: ServerHealth;
  /** Prompt prefixes in the caches of the servers. */
  readonly prefixes: PrefixCacheTracker;
  readonly serverRateLimiter: ServerRateLimiter;
  /** Request rates that servers named. */
  readonly serverLimits: ServerLimits;
  /** Servers that bear few rejections, and how many requests this host may have at them. */
  readonly rejectionLimits: RejectionLimits;
  readonly concurrencyShares: ConcurrencyShares;
  readonly leavingServers: LeavingServers;
  /** Pauses that servers asked of this host. */
  readonly serverPauses: ServerPauses;
  /** Which requests are rejected first while room is short. */
  readonly overload: OverloadControl;
  /** Whether customers compete for the servers, so that overload is controlled among them. */
  readonly controlsOverload: () => boolean;
  /** Which callers have returned too late for their target. */
  readonly lateReturns: LateReturns;
  /** Requests that wait for room at a server. */
  readonly admissionQueue: AdmissionQueue;
  /** Rate of the requests that this host sends on. */
  readonly sends: SendRate;
  /** Times at which callers that were rejected for overload may return. */
  readonly returns: ReturnSchedule;
  readonly allowances: Allowances;
  readonly retryBudget: RetryBudget;
  readonly crashGuard: CrashGuard;
  /** Prompt parts that are suspected of crashing servers. */
  readonly partSuspicion: PartSuspicion;
  readonly partTrials: PartTrials;
  /** Software versions that began the streams of callers. */
  readonly streamVersions: StreamVersions;
  /** When the processes of servers started, by their own reports. */
  readonly serverStarts: ServerStarts;
  /** Routes that have recently left a service. */
  readonly routeMoves: RouteMoves;
  /** Software versions of the processes at the other ends of connections to servers. */
  readonly serverClaims: ServerClaims;
  /** Whether responses without framing have ended, or their servers. */
  readonly endChecks: EndChecks;
  /** Transit times of messages from peers. */
  readonly transits: TransitTracker;
  /** Which backend servers this host reaches. */
  readonly serverLinks: ServerLinks;
  /**
   * Whether a server may get calls that serve no caller: not one that is leaving or has asked for a
   * pause, and one that accepts only a limited rate of requests is left to callers.
   */
  readonly mayCallServer: (server: ServerState) => boolean;
  /** Connections to backend servers. */
  readonly serverConnections: ConnectionPools;
  /** Connections to other entry hosts. */
  readonly peerConnections: ConnectionPools;
}

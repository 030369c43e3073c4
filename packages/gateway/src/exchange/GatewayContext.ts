import type { Clock, HostId, LogSink, MetricsSink, RandomSource } from '@camphorbarrow/core';
import type { RetryBudget } from '../limits/createRetryBudget.js';
import type { ColdServerLimiter } from '../limits/createColdServerLimiter.js';
import type { CrashGuard } from '../limits/createCrashGuard.js';
import type { WireCodec } from '../ports/WireCodec.js';
import type { LoadTracker } from '../routing/createLoadTracker.js';
import type { OutputLengthEstimator } from '../routing/createOutputLengthEstimator.js';
import type { PaceTracker } from '../routing/createPaceTracker.js';
import type { PrefixCacheTracker } from '../routing/createPrefixCacheTracker.js';
import type { Router } from '../routing/createRouter.js';
import type { ServerHealth } from '../routing/createServerHealth.js';
import type { SpeedTracker } from '../routing/createSpeedTracker.js';
import type { ConnectionPools } from '../upstream/createConnectionPools.js';

/** What serving a request needs. */
export interface GatewayContext {
  readonly ownId: HostId;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: LogSink;
  readonly metrics: MetricsSink;
  readonly codec: WireCodec;
  readonly router: Router;
  readonly loads: LoadTracker;
  readonly speeds: SpeedTracker;
  readonly paces: PaceTracker;
  readonly outputLengths: OutputLengthEstimator;
  readonly health: ServerHealth;
  readonly prefixes: PrefixCacheTracker;
  readonly coldServerLimiter: ColdServerLimiter;
  readonly retryBudget: RetryBudget;
  readonly crashGuard: CrashGuard;
  /** Connections to backend servers. */
  readonly serverConnections: ConnectionPools;
  /** Connections to other entry hosts. */
  readonly peerConnections: ConnectionPools;
}

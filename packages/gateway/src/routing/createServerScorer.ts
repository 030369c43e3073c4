import type { RandomSource, ServerId } from '@camphorbarrow/core';
import type { ServerLimits } from '../limits/createServerLimits.js';
import type { ServerState } from '../model/ServerState.js';
import type { ServiceSpec } from '../model/ServiceSpec.js';
import type { SoftwareVersion } from '../model/SoftwareVersion.js';
import { correctOldView } from './correctOldView.js';
import type { OldView } from './correctOldView.js';
import type { LoadTracker } from './createLoadTracker.js';
import type { PaceTracker } from './createPaceTracker.js';
import type { ServerHealth } from './createServerHealth.js';
import type { ServerView } from './createServerView.js';
import type { SpeedTracker } from './createSpeedTracker.js';
import type { LocalChoice, RoutingRequest } from './Destination.js';
import { estimateFinish } from './estimateFinish.js';
import { estimateStallMs } from './estimateStall.js';
import { planCacheFetch } from './planCacheFetch.js';
import type { ServerPrefix } from './planCacheFetch.js';
import { prefillRank } from './prefillRank.js';
import type { Scored } from './Scored.js';

/** Part of the prefill time that is added to the score of all but the preferred server. */
const AFFINITY_RATIO = 0.5;

/**
 * Prefill time from which a request is preferred for an engine that accepts a limited rate of
 * requests. Short prompts would use up the rate and leave the long ones to the other engines.
 */
const LIMITED_RATE_PREFILL_MS = 300;
/** Advantage of a server whose limit may have ended: only a response shows that it has. */
const LIMIT_RECHECK_MS = 200;

export interface ServerScorerOptions {
  readonly random: RandomSource;
  readonly servers: ServerView;
  readonly loads: LoadTracker;
  readonly speeds: SpeedTracker;
  readonly paces: PaceTracker;
  readonly health: ServerHealth;
  readonly serverLimits: Pick<ServerLimits, 'limitOf' | 'isOutdated'>;
}

/** What the compared servers have in common for one request. */
export interface ServerComparison {
  /** Servers with the most cached tokens of the prompt, by version. */
  readonly longest: ReadonlyMap<SoftwareVersion, ServerPrefix>;
  /** Server that all hosts prefer for the shared prefix; undefined without one. */
  readonly preferred: string | undefined;
  /** Undefined if the loads are taken as they were reported. */
  readonly view: OldView | undefined;
  /** How much more often than the others each server fails; undefined if it does not matter. */
  readonly failureRatios: ReadonlyMap<ServerId, number> | undefined;
}

/** Estimates how long a server takes for a request and what that costs others. */
export type ServerScorer = (
  request: RoutingRequest,
  target: ServerPrefix,
  comparison: ServerComparison,
) => Scored<LocalChoice>;

/** Creates the scorer of servers of this region. */
export function createServerScorer(options: ServerScorerOptions): ServerScorer {
  const { random, servers, loads, speeds, paces, health, serverLimits } = options;

  /** Added to the score of a server that accepts only a limited rate of requests. */
  function limitedRateScoreMs(
    server: ServerState,
    service: ServiceSpec,
    prefillMs: number,
  ): number {
    if (serverLimits.isOutdated(server)) {
      return -LIMIT_RECHECK_MS;
    }
    return service.kvCapacityTokens === undefined || serverLimits.limitOf(server) === undefined
      ? 0
      : Math.max(0, LIMITED_RATE_PREFILL_MS - prefillMs);
  }

  /** Correction of the wait at the server for what has happened since the other hosts reported. */
  function correctionMs(
    server: ServerState,
    service: ServiceSpec,
    { running, peerPrefillMs }: { readonly running: number; readonly peerPrefillMs: number },
    view: OldView,
  ): number {
    const ownRunning = loads.ownLoad(server.registration.id).running;
    return correctOldView(
      {
        ownRunning,
        peerRunning: Math.max(0, running - ownRunning),
        peerPrefillMs: service.kvCapacityTokens === undefined ? 0 : peerPrefillMs,
        msPerRunning: servers.msPerRunning(server, service),
      },
      view,
    );
  }

  return (request, target, { longest, preferred, view, failureRatios }) => {
    const { route, service, metadata } = request;
    const { server } = target;
    const { id } = server.registration;
    const slowdownRatio = loads.slowdownRatio(id);
    const prefillMsPerToken = speeds.prefillMsPerToken(server.incarnation) * slowdownRatio;
    const fetch = planCacheFetch({
      target,
      longest: longest.get(server.registration.softwareVersion) ?? target,
      transferMsPerToken: service.cacheTransferMsPerToken,
      prefillMsPerToken,
    });
    const cachedTokens = fetch?.cachedTokens ?? target.cachedTokens;
    const uncachedTokens = Math.max(0, metadata.promptTokens - cachedTokens);
    const prefillMs = uncachedTokens * prefillMsPerToken;
    const rank =
      service.kvCapacityTokens === undefined ? route.rank : prefillRank(route.rank, uncachedTokens);
    const serviceMs =
      service.kvCapacityTokens === undefined
        ? speeds.callMs(server.incarnation) * slowdownRatio
        : speeds.firstEventBaseMs * slowdownRatio + prefillMs + (fetch?.transferMs ?? 0);
    const waitMs = servers.queueMs(server, service, rank);
    const estimateMs = waitMs + serviceMs + health.penaltyMs(server.incarnation);
    const running = loads.running(id);
    const finish = estimateFinish(request, {
      msPerEvent: paces.msPerEvent(id),
      prefillMs,
      running,
    });
    const tokensAhead = loads.tokensAhead(id, rank);
    const stallMs =
      service.kvCapacityTokens === undefined
        ? 0
        : estimateStallMs({
            prefillMs: tokensAhead * prefillMsPerToken + prefillMs,
            running,
            targetGapMs: route.targetGapMs,
          });
    const limitedRateMs = limitedRateScoreMs(server, service, prefillMs);
    const affinityMs =
      preferred === undefined || preferred === server.registration.id
        ? 0
        : prefillMs * AFFINITY_RATIO;
    const failureMs = (failureRatios?.get(id) ?? 0) * route.targetLatencyMs;
    const peerPrefillMs =
      view === undefined ? 0 : (tokensAhead - loads.ownTokensAhead(id, rank)) * prefillMsPerToken;
    const viewCorrectionMs =
      view === undefined ? 0 : correctionMs(server, service, { running, peerPrefillMs }, view);
    return {
      choice: {
        kind: 'server' as const,
        server,
        rank,
        estimateMs,
        waitMs,
        finishMs: finish.finishMs,
        typicalFinishMs: finish.typicalFinishMs,
        stallMs,
        fetch,
        uncachedTokens,
        tokensAhead,
        running,
        viewCorrectionMs,
        failureMs,
      },
      scoreMs:
        estimateMs +
        viewCorrectionMs +
        affinityMs +
        limitedRateMs +
        finish.scoreMs +
        stallMs +
        failureMs +
        random.next(),
    };
  };
}

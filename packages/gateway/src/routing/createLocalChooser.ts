import type { RandomSource, RegionId } from '@camphorbarrow/core';
import type { ColdServerLimiter } from '../limits/createColdServerLimiter.js';
import type { ServerState } from '../model/ServerState.js';
import type { ServiceSpec } from '../model/ServiceSpec.js';
import type { PeerRegistry } from '../peers/createPeerRegistry.js';
import type { LoadTracker } from './createLoadTracker.js';
import type { PaceTracker } from './createPaceTracker.js';
import { sharedParts } from './createPrefixCacheTracker.js';
import type { PrefixCacheTracker } from './createPrefixCacheTracker.js';
import type { ServerHealth } from './createServerHealth.js';
import type { ServerView } from './createServerView.js';
import type { SpeedTracker } from './createSpeedTracker.js';
import type { RoutingRequest, LocalChoice } from './Destination.js';
import { estimateFinish } from './estimateFinish.js';
import { planCacheFetch } from './planCacheFetch.js';
import { prefillRank } from './prefillRank.js';
import { rankByRendezvous } from './rankByRendezvous.js';
import type { Scored } from './Scored.js';

/** Part of the reading time of a prompt by which its preferred server is favored. */
const AFFINITY_RATIO = 0.5;

export interface LocalChooserOptions {
  readonly random: RandomSource;
  readonly region: RegionId;
  readonly servers: ServerView;
  readonly peers: PeerRegistry;
  readonly loads: LoadTracker;
  readonly speeds: SpeedTracker;
  readonly paces: PaceTracker;
  readonly health: ServerHealth;
  readonly prefixes: PrefixCacheTracker;
  readonly coldServerLimiter: ColdServerLimiter;
}

/**
 * Part of a shared prefix that its preferred server is assumed to keep when it does not tell this
 * host. In a region of many hosts each of them sees few of the prompts and follows few of the
 * engines, but all of them prefer the same server.
 */
const ASSUMED_CACHED_RATIO = 0.7;

/** `cold`: the servers of this region are cold and may not be sent more now. */
export type LocalChooser = (demand: RoutingRequest) => Scored<LocalChoice> | 'cold' | undefined;

/** The server on which all hosts place a prompt that no server has cached. */
function preferredServer(
  demand: RoutingRequest,
  servers: readonly ServerState[],
): string | undefined {
  const deepest = sharedParts(demand.metadata.promptParts).at(-1);
  return deepest === undefined
    ? undefined
    : rankByRendezvous(
        deepest.id,
        servers.map(({ registration }) => registration.id),
      )[0];
}

/** Creates the choice among the servers of this region. */
export function createLocalChooser(options: LocalChooserOptions): LocalChooser {
  const { servers, peers, loads, speeds, paces, health, prefixes } = options;

  function connectionsLeft(server: ServerState, service: ServiceSpec): boolean {
    const hosts = peers.aliveIn(options.region).length + 1;
    return (
      loads.ownLoad(server.registration.id).running < Math.floor(service.maxConnections / hosts)
    );
  }

  return (demand) => {
    const { route, service, metadata: facts } = demand;
    const mayServe = route.homeRegions.length === 0 || route.homeRegions.includes(options.region);
    if (!mayServe) {
      return undefined;
    }
    const usable = servers
      .usable(service)
      .filter(
        (server) =>
          !demand.triedServers.has(server.registration.id) && connectionsLeft(server, service),
      );
    const permitted = usable.filter((server) =>
      options.coldServerLimiter.permits(server, service.coldRequestsPerSecond),
    );
    if (permitted.length === 0) {
      return usable.length === 0 ? undefined : 'cold';
    }
    const preferred = preferredServer(demand, permitted);
    const assumedTokens =
      sharedParts(facts.promptParts).reduce((sum, { tokens }) => sum + tokens, 0) *
      ASSUMED_CACHED_RATIO;
    const holdings = usable.map((server) => {
      const known = prefixes.cachedTokens(server.incarnation, facts.promptParts);
      const isAssumed =
        server.registration.id === preferred && !prefixes.hasReports(server.incarnation);
      return { server, cachedTokens: isAssumed ? Math.max(known, assumedTokens) : known };
    });
    const isPermitted = new Set(permitted);
    const choices = holdings
      .filter(({ server }) => isPermitted.has(server))
      .map((own) => {
        const { server } = own;
        const tokenMs = speeds.prefillMsPerToken(server.incarnation);
        const fetch = planCacheFetch({
          own,
          holdings,
          transferMsPerToken: service.cacheTransferMsPerToken,
          readMsPerToken: tokenMs,
        });
        const cachedTokens = fetch?.cachedTokens ?? own.cachedTokens;
        const uncachedTokens = Math.max(0, facts.promptTokens - cachedTokens);
        const rank =
          service.kvCapacityTokens === undefined
            ? route.rank
            : prefillRank(route.rank, uncachedTokens);
        const readMs =
          service.kvCapacityTokens === undefined
            ? speeds.callMs(server.incarnation)
            : speeds.firstEventBaseMs + uncachedTokens * tokenMs + (fetch?.transferMs ?? 0);
        const waitMs = servers.queueMs(server, service, rank);
        const estimateMs = waitMs + readMs + health.penaltyMs(server.incarnation);
        const running = loads.running(server.registration.id);
        const finish = estimateFinish(demand, {
          msPerEvent: paces.msPerEvent(server.registration.id),
          readMs: uncachedTokens * tokenMs,
          running,
        });
        const affinityMs =
          preferred === undefined || preferred === server.registration.id
            ? 0
            : uncachedTokens * tokenMs * AFFINITY_RATIO;
        return {
          choice: {
            kind: 'server' as const,
            server,
            rank,
            estimateMs,
            waitMs,
            finishMs: finish.finishMs,
            typicalFinishMs: finish.typicalFinishMs,
            fetch,
            uncachedTokens,
            tokensAhead: loads.tokensAhead(server.registration.id, rank),
            running,
          },
          scoreMs: estimateMs + affinityMs + finish.scoreMs + options.random.next(),
        };
      });
    return choices.reduce((best, next) => (next.scoreMs < best.scoreMs ? next : best));
  };
}

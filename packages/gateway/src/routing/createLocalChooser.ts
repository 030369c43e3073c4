import type { RegionId, ServerId } from '@camphorbarrow/core';
import type { ConcurrencyShares } from '../limits/createConcurrencyShares.js';
import type { ServerRateLimiter } from '../limits/createServerRateLimiter.js';
import type { PromptPart } from '../model/RequestMetadata.js';
import type { ServerState } from '../model/ServerState.js';
import type { ServiceSpec } from '../model/ServiceSpec.js';
import type { PeerRegistry } from '../peers/createPeerRegistry.js';
import { localReportRounds } from '../peers/reportRounds.js';
import type { OldView } from './correctOldView.js';
import type { OutcomeTracker } from './createOutcomeTracker.js';
import { sharedParts } from './createPrefixCacheTracker.js';
import type { PrefixCacheTracker } from './createPrefixCacheTracker.js';
import { createServerScorer } from './createServerScorer.js';
import type { ServerScorerOptions } from './createServerScorer.js';
import type { UnseenSends } from './createUnseenSends.js';
import type { RoutingRequest, LocalChoice, LocalRejection } from './Destination.js';
import { longestPrefixes } from './planCacheFetch.js';
import type { ServerPrefix } from './planCacheFetch.js';
import { pickByRendezvous } from './rankByRendezvous.js';
import type { Scored } from './Scored.js';
import { selectCandidates } from './selectCandidates.js';

export interface LocalChooserOptions extends ServerScorerOptions {
  readonly region: RegionId;
  readonly peers: PeerRegistry;
  readonly unseenSends: Pick<UnseenSends, 'expected' | 'viewAgeMs'>;
  readonly outcomes: Pick<OutcomeTracker, 'excessFailureRatios'>;
  readonly prefixes: PrefixCacheTracker;
  readonly serverRateLimiter: ServerRateLimiter;
  readonly concurrencyShares: Pick<ConcurrencyShares, 'permits'>;
}

/**
 * Part of a shared prefix that the preferred server is assumed to have cached if it does not report
 * its cache to this host. In a large region each host sees few of the prompts and reads the reports
 * of few engines, but all hosts prefer the same server for a prefix.
 */
const ASSUMED_CACHED_RATIO = 0.7;

/**
 * Shared prefix from which it matters which server prefills a prompt. An engine prefills a shorter
 * one in less than one step.
 */
const MIN_PREFIX_TOKENS = 1_024;

const countTokens = (parts: readonly PromptPart[]): number =>
  parts.reduce((sum, { tokens }) => sum + tokens, 0);

/**
 * Selects a local server, or says why none can receive the request.
 *
 * @param onCompared receives all compared servers
 */
export type LocalChooser = (
  request: RoutingRequest,
  onCompared?: (choices: readonly Scored<LocalChoice>[]) => void,
) => Scored<LocalChoice> | LocalRejection;

/** Server that all hosts with the same candidates prefer for a shared prefix. */
function preferredServer(
  prefixId: string | undefined,
  servers: readonly ServerState[],
): string | undefined {
  return prefixId === undefined
    ? undefined
    : pickByRendezvous(
        prefixId,
        servers.map(({ registration }) => registration.id),
      );
}

/** Creates a chooser among the servers of this region. */
export function createLocalChooser(options: LocalChooserOptions): LocalChooser {
  const { servers, peers, loads, unseenSends, prefixes } = options;
  const score = createServerScorer(options);

  const peerRunning = (id: ServerId): number =>
    Math.max(0, loads.running(id) - loads.ownLoad(id).running);

  /** How outdated the loads of the compared servers are, of all that may get the request. */
  function viewOf(
    service: ServiceSpec,
    compared: readonly ServerState[],
    permitted: readonly ServerState[],
  ): OldView {
    return {
      ageMs: unseenSends.viewAgeMs(),
      unseenRequests: (unseenSends.expected(service.name) * compared.length) / permitted.length,
      seenRequests: compared.reduce(
        (sum, { registration }) => sum + peerRunning(registration.id),
        0,
      ),
    };
  }

  return (request, onCompared) => {
    const { route, service, metadata, requiredVersion } = request;
    const mayServe = route.homeRegions.length === 0 || route.homeRegions.includes(options.region);
    if (!mayServe) {
      return { kind: 'none', reason: 'no-server' };
    }
    const usableForService = servers.usable(service, requiredVersion, route.resumable);
    if (usableForService.length === 0) {
      return servers.rejection(service, requiredVersion);
    }
    const otherHosts = peers.aliveIn(options.region).length;
    // The connections that a server accepts are shared by the hosts of the region.
    const maxRunning = Math.floor(service.maxConnections / (otherHosts + 1));
    const usable = usableForService.filter(
      ({ registration: { id } }) =>
        !request.triedServers.has(id) && loads.ownLoad(id).running < maxRunning,
    );
    const withinRate = usable.filter((server) =>
      options.serverRateLimiter.permits(server, service.coldRequestsPerSecond),
    );
    if (withinRate.length === 0) {
      return { kind: 'none', reason: usable.length === 0 ? 'no-server' : 'rate-limited' };
    }
    const isRepeat = request.triedServers.size > 0;
    const permitted = withinRate.filter((server) =>
      options.concurrencyShares.permits(server, isRepeat),
    );
    if (permitted.length === 0) {
      return { kind: 'none', reason: 'rejection-limited' };
    }
    const shared = sharedParts(metadata.promptParts);
    const sharedTokens = countTokens(shared);
    const prefixId = shared.at(-1)?.id;
    const hasSharedPrefix = sharedTokens >= MIN_PREFIX_TOKENS;
    const compared = selectCandidates({
      servers: permitted,
      prefixId: hasSharedPrefix ? prefixId : undefined,
      reportRounds: localReportRounds(otherHosts),
      random: options.random,
    });
    const preferred = preferredServer(prefixId, compared);
    const assumedTokens = sharedTokens * ASSUMED_CACHED_RATIO;
    const prefixOf = (server: ServerState): ServerPrefix => {
      const known = prefixes.cachedTokens(server.incarnation, metadata.promptParts);
      const isAssumed =
        server.registration.id === preferred && !prefixes.hasReports(server.incarnation);
      return { server, cachedTokens: isAssumed ? Math.max(known, assumedTokens) : known };
    };
    const isCompared = new Set(compared);
    // Those that are not compared may still pass on what they have cached.
    const mayFetch = service.cacheTransferMsPerToken !== undefined;
    const candidates = (mayFetch ? usable : usable.filter((server) => isCompared.has(server))).map(
      prefixOf,
    );
    // A shared prefix decides more than the load: its server has the prompt cached.
    const view = hasSharedPrefix ? undefined : viewOf(service, compared, permitted);
    const failureRatios = request.isLastRun
      ? options.outcomes.excessFailureRatios(compared.map(({ registration }) => registration.id))
      : undefined;
    const comparison = { longest: longestPrefixes(candidates), preferred, view, failureRatios };
    const choices = candidates
      .filter(({ server }) => isCompared.has(server))
      .map((target) => score(request, target, comparison));
    onCompared?.(choices);
    const best = choices.reduce((a, b) => (b.scoreMs < a.scoreMs ? b : a));
    // The correction orders the servers of this region; the score is compared with other regions.
    return { ...best, scoreMs: best.scoreMs - best.choice.viewCorrectionMs };
  };
}

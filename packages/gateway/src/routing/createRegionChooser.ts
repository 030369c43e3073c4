import type { RandomSource, RegionId } from '@camphorbarrow/core';
import type { Peer, PeerRegistry } from '../peers/createPeerRegistry.js';
import type { LoadTracker } from './createLoadTracker.js';
import { sharedParts } from './createPrefixCacheTracker.js';
import type { RoutingRequest, RegionChoice } from './Destination.js';
import { estimateFinish } from './estimateFinish.js';
import { relayLoadId } from './relayLoadId.js';
import type { Scored } from './Scored.js';

/** Round trip that is assumed to a peer that has not answered a heartbeat yet. */
const DEFAULT_ROUND_TRIP_MS = 160;
/** Part of the shared prompt that a server of another region is assumed to have cached. */
const REMOTE_CACHED_RATIO = 0.5;

/**
 * Longest remaining time of a request that goes to a host that drains: it has ended before the host
 * does, whose grace period is several seconds longer than the time in which it takes requests.
 */
const DRAINING_MAX_REMAINING_MS = 5_000;

export interface RegionChooserOptions {
  readonly random: RandomSource;
  readonly region: RegionId;
  readonly peers: PeerRegistry;
  readonly loads: LoadTracker;
}

export type RegionChooser = (demand: RoutingRequest) => Scored<RegionChoice> | undefined;

/** Creates the choice among the entry hosts of other regions. */
export function createRegionChooser(options: RegionChooserOptions): RegionChooser {
  const { peers, loads } = options;

  function estimateRegion(
    demand: RoutingRequest,
    peer: Peer,
  ): Scored<Omit<RegionChoice, 'kind' | 'peer'>> | undefined {
    const capacity = peer.heartbeat.capacity.get(demand.service.name);
    if (capacity === undefined || capacity.usableServers === 0) {
      return undefined;
    }
    const { metadata: facts } = demand;
    const sharedTokens = sharedParts(facts.promptParts).reduce((sum, part) => sum + part.tokens, 0);
    const tokens = facts.promptTokens - sharedTokens * REMOTE_CACHED_RATIO;
    const relayedTokens = loads.tokensAhead(relayLoadId(peer), demand.route.rank);
    const ownMs = (relayedTokens / capacity.usableServers) * capacity.msPerToken;
    const waitMs = capacity.queueMs + ownMs + (peer.roundTripMs ?? DEFAULT_ROUND_TRIP_MS);
    const readMs = tokens * capacity.msPerToken;
    const estimateMs = waitMs + readMs;
    const { scoreMs, ...ends } = estimateFinish(demand, { ...capacity, readMs });
    return { choice: { waitMs, estimateMs, ...ends }, scoreMs: estimateMs + scoreMs };
  }

  /**
   * Only hosts of a region reach its servers. While all of them drain, as when they restart by
   * turns, those that still serve are the way to the servers.
   */
  function acceptingPeers(demand: RoutingRequest): readonly Peer[] {
    const { homeRegions } = demand.route;
    const alive = peers.alive().filter(({ heartbeat: { host } }) => {
      const isHome = homeRegions.length === 0 || homeRegions.includes(host.region);
      return host.region !== options.region && isHome && !demand.triedRegions.has(host.region);
    });
    const ready = alive.filter(({ heartbeat }) => heartbeat.state === 'ready');
    if (demand.remainingMs > DRAINING_MAX_REMAINING_MS) {
      return ready;
    }
    const served = new Set(ready.map(({ heartbeat }) => heartbeat.host.region));
    const draining = alive.filter(
      ({ heartbeat: { state, host } }) => state === 'draining' && !served.has(host.region),
    );
    return [...ready, ...draining];
  }

  return (demand) => {
    const choices = acceptingPeers(demand).flatMap((peer) => {
      const estimate = estimateRegion(demand, peer);
      if (estimate === undefined) {
        return [];
      }
      const choice = { kind: 'region' as const, peer, ...estimate.choice };
      return [{ choice, scoreMs: estimate.scoreMs }];
    });
    // Hosts of one region tell nearly the same; each next request goes to another one.
    const relayedTo = ({ choice }: Scored<RegionChoice>): number =>
      loads.ownLoad(relayLoadId(choice.peer)).running;
    return choices.sort(
      (a, b) =>
        a.scoreMs + relayedTo(a) - (b.scoreMs + relayedTo(b)) || options.random.next() - 0.5,
    )[0];
  };
}

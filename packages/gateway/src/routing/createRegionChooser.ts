import type { Clock, RandomSource, RegionId } from '@camphorbarrow/core';
import type { Peer, PeerRegistry } from '../peers/createPeerRegistry.js';
import type { LoadTracker } from './createLoadTracker.js';
import { sharedParts } from './createPrefixCacheTracker.js';
import type { RoutingRequest, RegionChoice } from './Destination.js';
import { estimateFinish } from './estimateFinish.js';
import { relayLoadId } from './relayLoadId.js';
import type { Scored } from './Scored.js';

/** Round-trip time assumed for a peer before the first measurement. */
const DEFAULT_ROUND_TRIP_MS = 160;
/** Part of the shared prompt that a server in another region is assumed to have cached. */
const REMOTE_CACHED_RATIO = 0.5;

export interface RegionChooserOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly region: RegionId;
  readonly peers: PeerRegistry;
  readonly loads: LoadTracker;
}

/** Selects an entry host of another region, or undefined if there is none. */
export type RegionChooser = (request: RoutingRequest) => Scored<RegionChoice> | undefined;

/** Creates a chooser among the entry hosts of other regions. */
export function createRegionChooser(options: RegionChooserOptions): RegionChooser {
  const { peers, loads } = options;

  function estimateRegion(
    request: RoutingRequest,
    peer: Peer,
  ): Scored<Omit<RegionChoice, 'kind' | 'peer'>> | undefined {
    const capacity = peer.heartbeat.capacity.get(request.service.name);
    if (capacity === undefined || capacity.usableServers === 0) {
      return undefined;
    }
    const { metadata } = request;
    const sharedTokens = sharedParts(metadata.promptParts).reduce(
      (sum, part) => sum + part.tokens,
      0,
    );
    const tokens = metadata.promptTokens - sharedTokens * REMOTE_CACHED_RATIO;
    const relayedTokens = loads.tokensAhead(relayLoadId(peer), request.route.rank);
    const relayedMs = (relayedTokens / capacity.usableServers) * capacity.msPerToken;
    const waitMs = capacity.queueMs + relayedMs + (peer.roundTripMs ?? DEFAULT_ROUND_TRIP_MS);
    const prefillMs = tokens * capacity.msPerToken;
    const estimateMs = waitMs + prefillMs;
    const { scoreMs, ...finish } = estimateFinish(request, { ...capacity, prefillMs });
    return { choice: { waitMs, estimateMs, ...finish }, scoreMs: estimateMs + scoreMs };
  }

  /**
   * Whether a draining peer takes the request: it has to end before the peer closes. A round trip
   * covers the transit of the heartbeat and of the request.
   */
  function endsBeforeClose(request: RoutingRequest, peer: Peer): boolean {
    const ageMs = options.clock.monotonicMs() - peer.lastHeartbeatAtMs;
    const closesInMs = (peer.heartbeat.closesInMs ?? 0) - ageMs;
    return request.remainingMs + (peer.roundTripMs ?? DEFAULT_ROUND_TRIP_MS) <= closesInMs;
  }

  /**
   * Ready peers of other regions. Only the hosts of a region can reach its servers, so while all of
   * them drain, as in a rolling restart, requests that end in time also go to draining hosts.
   */
  function acceptingPeers(request: RoutingRequest): readonly Peer[] {
    const { homeRegions } = request.route;
    const alive = peers.alive().filter(({ heartbeat: { host } }) => {
      const isAllowed = homeRegions.length === 0 || homeRegions.includes(host.region);
      return (
        host.region !== options.region &&
        isAllowed &&
        !request.triedRegions.has(host.region) &&
        !request.rejectingHosts.has(host.id)
      );
    });
    const ready = alive.filter(({ heartbeat }) => heartbeat.state === 'ready');
    const readyRegions = new Set(ready.map(({ heartbeat }) => heartbeat.host.region));
    const draining = alive.filter(
      (peer) =>
        peer.heartbeat.state === 'draining' &&
        !readyRegions.has(peer.heartbeat.host.region) &&
        endsBeforeClose(request, peer),
    );
    return [...ready, ...draining];
  }

  return (request) => {
    const choices = acceptingPeers(request).flatMap((peer) => {
      const estimate = estimateRegion(request, peer);
      if (estimate === undefined) {
        return [];
      }
      const choice = { kind: 'region' as const, peer, ...estimate.choice };
      return [{ choice, scoreMs: estimate.scoreMs }];
    });
    // Hosts of one region report nearly the same capacity; the number of relayed requests, added to
    // the score, spreads requests among them.
    const relayedTo = ({ choice }: Scored<RegionChoice>): number =>
      loads.ownLoad(relayLoadId(choice.peer)).running;
    return choices.sort(
      (a, b) =>
        a.scoreMs + relayedTo(a) - (b.scoreMs + relayedTo(b)) || options.random.next() - 0.5,
    )[0];
  };
}

import type { Clock, RandomSource, RegionId } from '@camphorbarrow/core';
import type { ServerState } from '../model/ServerState.js';
import type { Peer, PeerRegistry } from '../peers/createPeerRegistry.js';
import type { RegionCapacity } from '../peers/PeerHeartbeat.js';
import type { LoadTracker } from './createLoadTracker.js';
import type { Contention } from './createContention.js';
import { sharedParts } from './createPrefixCacheTracker.js';
import type { RoutingRequest, RegionChoice } from './Destination.js';
import { estimateFinish } from './estimateFinish.js';
import { estimateStallMs } from './estimateStall.js';
import { hasVersion } from './hasVersion.js';
import { relayLoadId } from './relayLoadId.js';
import type { Scored } from './Scored.js';

/** Round-trip time assumed for a peer before the first measurement. */
const DEFAULT_ROUND_TRIP_MS = 160;
/** Age of a heartbeat up to which its sender is almost certainly still running. */
const RECENT_HEARTBEAT_MS = 2_500;
/**
 * Disadvantage of a region without a host that tells versions: a stream that begins there and breaks
 * is lost.
 */
const UNTOLD_VERSION_MS = 1_000;
/** Part of the shared prompt that a server in another region is assumed to have cached. */
const REMOTE_CACHED_RATIO = 0.5;

export interface RegionChooserOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly region: RegionId;
  readonly peers: PeerRegistry;
  readonly loads: LoadTracker;
  readonly contentionMs: Contention;
  /** All known servers; a region without one of the required version is not chosen. */
  readonly servers: () => readonly ServerState[];
}

/**
 * Regions among whose hosts a peer is chosen. `with-room`: others, and hosts of the own region that may
 * send to servers without a limit on their requests now.
 */
export type RegionScope = 'others' | 'own' | 'all' | 'with-room';

/** Selects another entry host, or undefined if there is none. */
export type RegionChooser = (
  request: RoutingRequest,
  scope: RegionScope,
) => Scored<RegionChoice> | undefined;

/** Estimate for all hosts of a region. */
type RegionEstimate = Scored<Omit<RegionChoice, 'kind' | 'peer'>>;

/**
 * Whether a peer tells which version begins a stream, and keeps to a required one. Hosts of builds that
 * read versions report those of a service with several; others would send it to any server.
 */
const tellsVersions = ({ service }: RoutingRequest, { heartbeat }: Peer): boolean =>
  heartbeat.versions?.some((report) => report.service === service.name) === true;

/**
 * Capacity in the heartbeat that arrived last from any of these hosts of a region. Each reports the
 * capacity of the whole region, and one of many hosts is heard of only every few seconds.
 */
function latestCapacity(
  { service }: RoutingRequest,
  regionPeers: readonly Peer[],
): RegionCapacity | undefined {
  const latest = regionPeers.reduce<Peer | undefined>(
    (best, peer) =>
      best === undefined || peer.lastHeartbeatAtMs > best.lastHeartbeatAtMs ? peer : best,
    undefined,
  );
  return latest?.heartbeat.capacity.get(service.name);
}

/** Creates a chooser among the other entry hosts, by region. */
export function createRegionChooser(options: RegionChooserOptions): RegionChooser {
  const { peers, loads } = options;

  /** Estimate for the region of these peers, which take the request. */
  function estimateRegion(
    request: RoutingRequest,
    region: RegionId,
    regionPeers: readonly Peer[],
  ): RegionEstimate | undefined {
    const capacity = latestCapacity(request, regionPeers);
    if (capacity === undefined) {
      return undefined;
    }
    const usableServers = Math.max(1, capacity.usableServers);
    const { metadata, route } = request;
    const sharedTokens = sharedParts(metadata.promptParts).reduce(
      (sum, part) => sum + part.tokens,
      0,
    );
    const tokens = metadata.promptTokens - sharedTokens * REMOTE_CACHED_RATIO;
    const relayedTokens = regionPeers.reduce(
      (sum, peer) => sum + loads.tokensAhead(relayLoadId(peer), route.rank),
      0,
    );
    const relayedMs = (relayedTokens / usableServers) * capacity.msPerToken;
    const roundTripMs = Math.min(
      ...regionPeers.map((peer) => peer.roundTripMs ?? DEFAULT_ROUND_TRIP_MS),
    );
    const waitMs = capacity.queueMs + relayedMs + roundTripMs;
    const prefillMs = tokens * capacity.msPerToken;
    const estimateMs = waitMs + prefillMs;
    const { scoreMs, ...finish } = estimateFinish(request, { ...capacity, prefillMs });
    const { slotUsageRatio } = capacity;
    const stallMs = estimateStallMs({
      prefillMs: capacity.queueMs + relayedMs + prefillMs,
      running: capacity.running,
      targetGapMs: route.targetGapMs,
    });
    const contentionMs = options.contentionMs(request, region, slotUsageRatio);
    return {
      choice: {
        isOwnRegion: region === options.region,
        waitMs,
        estimateMs,
        slotUsageRatio,
        ...finish,
      },
      scoreMs: estimateMs + scoreMs + stallMs + contentionMs,
    };
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

  /** Whether a host with this capacity serves callers of this region. */
  const serves = (
    region: RegionId,
    capacity: RegionCapacity | undefined,
    scope: RegionScope,
  ): boolean =>
    capacity !== undefined &&
    ((region === options.region && scope !== 'with-room') || capacity.usableServers > 0);

  const isInScope = (region: RegionId, scope: RegionScope): boolean =>
    scope === 'all' || scope === 'with-room' || (region === options.region) === (scope === 'own');

  /**
   * Ready peers that can reach servers of the service themselves, by their own heartbeat. Only the
   * hosts of a region can reach its servers, so while all of those drain, as in a rolling restart,
   * requests that end in time also go to draining hosts.
   */
  function acceptingPeers(request: RoutingRequest, scope: RegionScope): readonly Peer[] {
    const { homeRegions } = request.route;
    const { service, requiredVersion } = request;
    const servers = requiredVersion === undefined ? [] : options.servers();
    const mayContinue = (region: RegionId): boolean =>
      requiredVersion === undefined || hasVersion(servers, service.name, requiredVersion, region);
    const alive = peers.alive().filter((peer) => {
      const { host, capacity } = peer.heartbeat;
      const isAllowed = homeRegions.length === 0 || homeRegions.includes(host.region);
      return (
        isInScope(host.region, scope) &&
        isAllowed &&
        serves(host.region, capacity.get(service.name), scope) &&
        mayContinue(host.region) &&
        (requiredVersion === undefined ||
          request.dependsOnVersion !== true ||
          tellsVersions(request, peer)) &&
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

  /**
   * The peer to which this host relays the fewest requests, of those heard of recently if there are
   * any; a random one of equal ones.
   */
  function pickPeer(regionPeers: readonly Peer[]): Peer | undefined {
    const oldestMs = options.clock.monotonicMs() - RECENT_HEARTBEAT_MS;
    const recent = regionPeers.filter((peer) => peer.lastHeartbeatAtMs >= oldestMs);
    const candidates = recent.length > 0 ? recent : regionPeers;
    const relayedTo = (peer: Peer): number => loads.ownLoad(relayLoadId(peer)).running;
    const fewest = Math.min(...candidates.map(relayedTo));
    const equal = candidates.filter((peer) => relayedTo(peer) === fewest);
    return equal[Math.floor(options.random.next() * equal.length)];
  }

  return (request, scope) => {
    const accepting = acceptingPeers(request, scope);
    const regions = new Set(accepting.map(({ heartbeat }) => heartbeat.host.region));
    const choices = [...regions].flatMap((region) => {
      const regionPeers = accepting.filter(({ heartbeat }) => heartbeat.host.region === region);
      const estimate = estimateRegion(request, region, regionPeers);
      const telling =
        request.dependsOnVersion === true
          ? regionPeers.filter((peer) => tellsVersions(request, peer))
          : regionPeers;
      const peer = pickPeer(telling.length > 0 ? telling : regionPeers);
      return estimate === undefined || peer === undefined
        ? []
        : [
            {
              choice: { kind: 'region' as const, peer, ...estimate.choice },
              scoreMs: estimate.scoreMs + (telling.length > 0 ? 0 : UNTOLD_VERSION_MS),
            },
          ];
    });
    return choices.reduce<Scored<RegionChoice> | undefined>(
      (best, next) => (best === undefined || next.scoreMs < best.scoreMs ? next : best),
      undefined,
    );
  };
}

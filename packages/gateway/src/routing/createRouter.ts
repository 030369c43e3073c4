import { asId } from '@camphorbarrow/core';
import type { Clock, RandomSource, RegionId, ServerId } from '@camphorbarrow/core';
import type { FleetView } from '../fleet/createFleetView.js';
import type { ColdPacer } from '../limits/createColdPacer.js';
import type { ServerState } from '../model/ServerState.js';
import type { ServiceName } from '../model/ServiceName.js';
import type { ServiceSpec } from '../model/ServiceSpec.js';
import type { Peer, PeerBook } from '../peers/createPeerBook.js';
import type { RegionCapacity } from '../peers/PeerHeartbeat.js';
import type { LoadBook } from './createLoadBook.js';
import { sharedParts } from './createPrefixBook.js';
import type { PrefixBook } from './createPrefixBook.js';
import type { ServerHealth } from './createServerHealth.js';
import type { SpeedBook } from './createSpeedBook.js';
import type { Demand, Destination } from './Destination.js';
import { rankByRendezvous } from './rendezvous.js';

/** Round trip that is assumed to a peer that has not answered a heartbeat yet. */
const DEFAULT_ROUND_TRIP_MS = 160;
/** Gain below which a request is not worth its way to another region. */
const MIN_SPILL_GAIN_MS = 80;
/** Requests that are expected within this part of their target stay in the region. */
const STAY_TARGET_RATIO = 0.5;
/** Part of the shared prompt that a server of another region is assumed to have cached. */
const REMOTE_CACHED_RATIO = 0.5;
/** Part of the reading time of a prompt by which its preferred server is favored. */
const AFFINITY_RATIO = 0.5;
/** Weight of the time to the end of an answer against the time to its first event. */
const FINISH_RATIO = 0.3;
/** Weight of the delay that reading an urgent prompt means for each stream of the engine. */
const URGENT_DISTURBANCE_RATIO = 0.06;
/** The same for prompts of other ranks, which make way for the streams. */
const DISTURBANCE_RATIO = 0.16;
/** Part of the largest output that is expected of a request that tells no estimate. */
const UNTOLD_OUTPUT_RATIO = 0.5;
/** Slowdown of an engine's first event by each request that it runs. */
const MS_PER_RUNNING_REQUEST = 2;
/** Time for which a request holds a slot of a full engine, for the wait it causes. */
const SLOT_HOLD_MS = 1_500;

/** Part of a request's target for which it may wait for others. */
const ADMITTED_WAIT_RATIO = 0.9;
/** Servers with fewer places taken are not full, however long the estimated wait is. */
const FREE_PLACES_RATIO = 0.5;
/** Rank for which the wait in this region is told to others; the least urgent one waits longest. */
const CAPACITY_RANK = 9;

type LocalChoice = Extract<Destination, { kind: 'server' }>;
type RegionChoice = Extract<Destination, { kind: 'region' }>;

/** A choice with the figure by which choices are compared; the lower is the better. */
interface Scored<Choice> {
  readonly choice: Choice;
  readonly scoreMs: number;
}

export interface RouterOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly region: RegionId;
  readonly view: FleetView;
  readonly peers: PeerBook;
  readonly loads: LoadBook;
  readonly speeds: SpeedBook;
  readonly health: ServerHealth;
  readonly prefixes: PrefixBook;
  readonly coldPacer: ColdPacer;
}

export interface Router {
  choose(demand: Demand): Destination;
  /** What this host expects of its region, for heartbeats. */
  capacity(): ReadonlyMap<ServiceName, RegionCapacity>;
}

/** Name under which requests passed on to a peer are counted in the load book. */
export const relayLoadId = (peer: Peer): ServerId => asId(`host ${peer.heartbeat.host.id}`);

/** Creates the choice of a server, or of another region, for each request. */
export function createRouter(options: RouterOptions): Router {
  const { clock, view, peers, loads, speeds, health, prefixes } = options;

  function isUsable(server: ServerState): boolean {
    return (
      server.region === options.region &&
      server.registration.state === 'ready' &&
      !view.isEvacuated(server.registration.zone) &&
      health.isReachable(server)
    );
  }

  /** Wait for the work that the server has already. */
  function queueMs(server: ServerState, service: ServiceSpec, rank: number): number {
    const { id, slots } = server.registration;
    const running = loads.running(id);
    const excess = Math.max(0, running - slots + 1) / Math.max(1, slots);
    if (service.kvCapacityTokens === undefined) {
      const callMs = speeds.callMs(server.incarnation);
      return callMs * (excess + running / Math.max(1, slots));
    }
    return (
      loads.tokensAhead(id, rank) * speeds.msPerToken(server.incarnation) +
      running * MS_PER_RUNNING_REQUEST +
      excess * SLOT_HOLD_MS
    );
  }

  function connectionsLeft(server: ServerState, service: ServiceSpec): boolean {
    const hosts = peers.aliveIn(options.region).length + 1;
    return loads.own(server.registration.id).running < Math.floor(service.maxConnections / hosts);
  }

  /** Time from the first event to the end of the answer at this pace. */
  function finishTimeMs({ service, facts }: Demand, msPerEvent: number): number {
    if (service.kvCapacityTokens === undefined) {
      return 0;
    }
    const tokens = facts.expectedOutputTokens ?? facts.maxOutputTokens * UNTOLD_OUTPUT_RATIO;
    return (Math.min(tokens, facts.maxOutputTokens) / service.tokensPerEvent) * msPerEvent;
  }

  /** How much reading the prompt delays the streams that the engine runs. */
  function disturbanceMs({ service, route }: Demand, readMs: number, running: number): number {
    const ratio = route.rank === 0 ? URGENT_DISTURBANCE_RATIO : DISTURBANCE_RATIO;
    return service.kvCapacityTokens === undefined ? 0 : readMs * running * ratio;
  }

  function preferredServer(demand: Demand, servers: readonly ServerState[]): string | undefined {
    const deepest = sharedParts(demand.facts.promptParts).at(-1);
    return deepest === undefined
      ? undefined
      : rankByRendezvous(
          deepest.id,
          servers.map(({ registration }) => registration.id),
        )[0];
  }

  function chooseLocal(demand: Demand): Scored<LocalChoice> | 'cold' | undefined {
    const { route, service, facts } = demand;
    const mayServe = route.homeRegions.length === 0 || route.homeRegions.includes(options.region);
    if (!mayServe) {
      return undefined;
    }
    const usable = view.servers
      .all()
      .filter(
        (server) =>
          server.registration.service === service.name &&
          isUsable(server) &&
          !demand.triedServers.has(server.registration.id) &&
          connectionsLeft(server, service),
      );
    const permitted = usable.filter((server) =>
      options.coldPacer.permits(server, service.coldRequestsPerSecond),
    );
    if (permitted.length === 0) {
      return usable.length === 0 ? undefined : 'cold';
    }
    const preferred = preferredServer(demand, permitted);
    const choices = permitted.map((server) => {
      const cachedTokens = prefixes.cachedTokens(server.incarnation, facts.promptParts);
      const uncachedTokens = Math.max(0, facts.promptTokens - cachedTokens);
      const tokenMs = speeds.msPerToken(server.incarnation);
      const readMs =
        service.kvCapacityTokens === undefined
          ? speeds.callMs(server.incarnation)
          : speeds.firstEventBaseMs + uncachedTokens * tokenMs;
      const waitMs = queueMs(server, service, route.rank);
      const estimateMs = waitMs + readMs + health.penaltyMs(server.incarnation);
      const finishMs = finishTimeMs(demand, speeds.msPerEvent(server.incarnation));
      const running = loads.running(server.registration.id);
      const affinityMs =
        preferred === undefined || preferred === server.registration.id
          ? 0
          : uncachedTokens * tokenMs * AFFINITY_RATIO;
      return {
        choice: {
          kind: 'server' as const,
          server,
          estimateMs,
          waitMs,
          finishMs,
          uncachedTokens,
          tokensAhead: loads.tokensAhead(server.registration.id, route.rank),
          running,
        },
        scoreMs:
          estimateMs +
          affinityMs +
          finishMs * FINISH_RATIO +
          disturbanceMs(demand, uncachedTokens * tokenMs, running) +
          options.random.next(),
      };
    });
    return choices.reduce((best, next) => (next.scoreMs < best.scoreMs ? next : best));
  }

  function estimateRegion(
    demand: Demand,
    peer: Peer,
  ): Scored<Omit<RegionChoice, 'kind' | 'peer'>> | undefined {
    const capacity = peer.heartbeat.capacity.get(demand.service.name);
    if (capacity === undefined || capacity.usableServers === 0) {
      return undefined;
    }
    const { facts } = demand;
    const sharedTokens = sharedParts(facts.promptParts).reduce((sum, part) => sum + part.tokens, 0);
    const tokens = facts.promptTokens - sharedTokens * REMOTE_CACHED_RATIO;
    const relayedTokens = loads.tokensAhead(relayLoadId(peer), demand.route.rank);
    const ownMs = (relayedTokens / capacity.usableServers) * capacity.msPerToken;
    const waitMs = capacity.queueMs + ownMs + (peer.roundTripMs ?? DEFAULT_ROUND_TRIP_MS);
    const readMs = tokens * capacity.msPerToken;
    const estimateMs = waitMs + readMs;
    const finishMs = finishTimeMs(demand, capacity.msPerEvent);
    const scoreMs =
      estimateMs + finishMs * FINISH_RATIO + disturbanceMs(demand, readMs, capacity.running);
    return { choice: { waitMs, estimateMs, finishMs }, scoreMs };
  }

  function chooseRegion(demand: Demand): Scored<RegionChoice> | undefined {
    const { homeRegions } = demand.route;
    const choices = peers
      .alive()
      .filter(({ heartbeat: { host, state } }) => {
        const isHome = homeRegions.length === 0 || homeRegions.includes(host.region);
        return (
          state === 'ready' &&
          host.region !== options.region &&
          isHome &&
          !demand.triedRegions.has(host.region)
        );
      })
      .flatMap((peer) => {
        const estimate = estimateRegion(demand, peer);
        if (estimate === undefined) {
          return [];
        }
        const choice = { kind: 'region' as const, peer, ...estimate.choice };
        return [{ choice, scoreMs: estimate.scoreMs }];
      });
    // Hosts of one region tell nearly the same; each next request goes to another one.
    const relayedTo = ({ choice }: Scored<RegionChoice>): number =>
      loads.own(relayLoadId(choice.peer)).running;
    return choices.sort(
      (a, b) =>
        a.scoreMs + relayedTo(a) - (b.scoreMs + relayedTo(b)) || options.random.next() - 0.5,
    )[0];
  }

  /** Whether servers that may take the request have many places free. */
  function hasFreePlaces(demand: Demand, choice: LocalChoice | RegionChoice): boolean {
    if (choice.kind === 'server' && loads.reportedWaiting(choice.server.registration.id) > 0) {
      return false;
    }
    const taken =
      choice.kind === 'server'
        ? choice.running / Math.max(1, choice.server.registration.slots)
        : (choice.peer.heartbeat.capacity.get(demand.service.name)?.placesTakenRatio ?? 0);
    return taken < FREE_PLACES_RATIO;
  }

  /**
   * Refuses a request that would wait for longer than its target: the servers then serve others in
   * time, where each of them would be late otherwise.
   */
  function admit(demand: Demand, choice: LocalChoice | RegionChoice): Destination {
    const admits =
      demand.relayed ||
      demand.isRepeat ||
      hasFreePlaces(demand, choice) ||
      (choice.waitMs <= demand.route.targetLatencyMs * ADMITTED_WAIT_RATIO &&
        choice.estimateMs + choice.finishMs <= demand.remainingMs);
    return admits ? choice : { kind: 'none', reason: 'overloaded', waitMs: choice.waitMs };
  }

  return {
    choose(demand) {
      const local = chooseLocal(demand);
      const usableLocal = local === undefined || local === 'cold' ? undefined : local;
      const stays =
        usableLocal !== undefined &&
        usableLocal.choice.estimateMs <= demand.route.targetLatencyMs * STAY_TARGET_RATIO &&
        usableLocal.choice.finishMs <= demand.remainingMs * STAY_TARGET_RATIO;
      const region = demand.relayed || stays ? undefined : chooseRegion(demand);
      if (usableLocal === undefined) {
        return region === undefined
          ? { kind: 'none', reason: local === 'cold' ? 'cold' : 'no-server' }
          : admit(demand, region.choice);
      }
      const spills =
        region !== undefined && region.scoreMs + MIN_SPILL_GAIN_MS < usableLocal.scoreMs;
      return admit(demand, spills ? region.choice : usableLocal.choice);
    },
    capacity() {
      const table = view.table();
      const capacities = new Map<ServiceName, RegionCapacity>();
      table?.services.forEach((service) => {
        const nowMs = clock.monotonicMs();
        const servers = view.servers
          .all()
          .filter(
            (server) =>
              server.registration.service === service.name &&
              isUsable(server) &&
              (service.coldRequestsPerSecond <= 0 || server.coldUntilMs <= nowMs),
          );
        if (servers.length > 0) {
          const queues = servers.map((server) => ({
            msPerEvent: speeds.msPerEvent(server.incarnation),
            running: loads.running(server.registration.id),
            queueMs: queueMs(server, service, CAPACITY_RANK) + health.penaltyMs(server.incarnation),
            msPerToken:
              service.kvCapacityTokens === undefined ? 0 : speeds.msPerToken(server.incarnation),
          }));
          const best = queues.reduce((a, b) => (b.queueMs < a.queueMs ? b : a));
          const sum = (numberOf: (server: ServerState) => number): number =>
            servers.reduce((total, server) => total + numberOf(server), 0);
          capacities.set(service.name, {
            ...best,
            usableServers: servers.length,
            placesTakenRatio:
              sum(({ registration }) => loads.running(registration.id)) /
              Math.max(
                1,
                sum(({ registration }) => registration.slots),
              ),
          });
        }
      });
      return capacities;
    },
  };
}

import type { RegionId } from '@camphorbarrow/core';
import { mostUrgentRank } from '../model/mostUrgentRank.js';
import type { OverloadCause, OverloadControl } from '../overload/createOverloadControl.js';
import type { Contention } from './createContention.js';
import type { LoadTracker } from './createLoadTracker.js';
import type { LocalChooser } from './createLocalChooser.js';
import type { RegionChooser, RegionScope } from './createRegionChooser.js';
import type { ServerView } from './createServerView.js';
import type {
  RoutingRequest,
  Destination,
  LocalChoice,
  LocalRejection,
  RegionChoice,
} from './Destination.js';
import type { Scored } from './Scored.js';
import { toAdmissionRequest } from './toAdmissionRequest.js';

/**
 * Rejections by neighbours after which other regions go first: the servers of this region may have
 * crashed a moment ago, which their hosts find out one by one.
 */
const MAX_NEIGHBOUR_REJECTIONS = 2;
/** Minimum gain for which a request is sent to another region. */
const MIN_SPILL_GAIN_MS = 80;
/**
 * A request stays in its region if its estimates there are within this part of its target latency
 * and remaining time, and no other stream stalls.
 */
const STAY_LOCAL_RATIO = 0.5;
/** Part of the target latency from which a wait shows that room is short. */
const SHORT_WAIT_RATIO = 0.5;
/** Part of the target latency that an admitted request may spend in the queue. */
const MAX_WAIT_RATIO = 0.9;
/**
 * Length of a long response relative to the typical length. With the platform's distribution of
 * lengths, nine out of ten responses are shorter.
 */
const LONG_RESPONSE_RATIO = 2.5;
/** Below this slot usage and without waiting requests, the estimated wait is disregarded. */
const FREE_SLOTS_USAGE_RATIO = 0.5;

export interface RouterOptions {
  readonly chooseLocal: LocalChooser;
  readonly chooseRegion: RegionChooser;
  readonly loads: LoadTracker;
  readonly region: RegionId;
  readonly contentionMs: Contention;
  readonly slotUsageRatio: ServerView['slotUsageRatio'];
  readonly overload: Pick<OverloadControl, 'shedCause'>;
}

/** Selects the destination of a request. */
export interface Router {
  choose(request: RoutingRequest): Destination;
}

/**
 * Creates a router that selects a local server, a peer, or a rejection. Peers of this region are for
 * requests of a host that reaches none of the servers, or may be about to find out that it does not, and
 * for those of a host without places at servers that bear few rejections.
 */
export function createRouter(options: RouterOptions): Router {
  const { chooseLocal, chooseRegion, loads } = options;

  /** Whether many slots of the chosen server or region are free and no waiting request is known. */
  function hasFreeSlots(choice: LocalChoice | RegionChoice): boolean {
    if (choice.kind === 'server' && loads.reportedWaiting(choice.server.registration.id) > 0) {
      return false;
    }
    const usage =
      choice.kind === 'server'
        ? choice.running / Math.max(1, choice.server.registration.slots)
        : choice.slotUsageRatio;
    return usage < FREE_SLOTS_USAGE_RATIO;
  }

  /** Time that a long response of the route takes; of the most urgent routes, a typical one. */
  const longFinishMs = (
    { route }: RoutingRequest,
    { typicalFinishMs }: LocalChoice | RegionChoice,
  ): number => typicalFinishMs * (route.rank === mostUrgentRank ? 1 : LONG_RESPONSE_RATIO);

  /**
   * Whether a request would be served within its target. Without this check, all requests in the
   * queue would be late; with it, the servers process the others in time.
   *
   * The check assumes a long response of the route instead of the expected length of this one. With
   * the expected length, callers of long responses would be rejected more often than others; with
   * the typical length, they would be admitted but exceed their deadline. For the most urgent
   * requests, the check assumes a typical response.
   */
  function isAdmitted(request: RoutingRequest, choice: LocalChoice | RegionChoice): boolean {
    return (
      request.isRetry ||
      hasFreeSlots(choice) ||
      (choice.waitMs <= request.route.targetLatencyMs * MAX_WAIT_RATIO &&
        choice.estimateMs + longFinishMs(request, choice) <= request.remainingMs)
    );
  }

  function reject(
    request: RoutingRequest,
    rejected: LocalChoice | RegionChoice,
    second?: LocalChoice | RegionChoice,
  ) {
    const choices = second === undefined ? [rejected] : [rejected, second];
    const shortestWaitMs = Math.min(...choices.map(({ waitMs }) => waitMs));
    return {
      kind: 'none' as const,
      reason: 'overloaded' as const,
      rejected,
      roomInMs: Math.max(0, shortestWaitMs - request.route.targetLatencyMs * MAX_WAIT_RATIO),
      fitsWithoutQueue: choices.some(
        (choice) =>
          choice.estimateMs - choice.waitMs + longFinishMs(request, choice) <= request.remainingMs,
      ),
    };
  }

  /** Whether so many slots of this region are free that no request is shed, whichever server is best. */
  const hasFreeRegion = ({ service }: RoutingRequest): boolean =>
    options.slotUsageRatio(service.name) < FREE_SLOTS_USAGE_RATIO;

  /**
   * Whether room is short. The best server may be a busy one that holds the prefix of the prompt while
   * others are free, so the usage of the region counts, too. A less urgent request with a long target
   * does not wait itself, but it makes the urgent ones wait, so its own wait does not matter.
   */
  const isShort = (request: RoutingRequest, choice: LocalChoice | RegionChoice): boolean => {
    const { route, isLate = false } = request;
    return (
      !hasFreeSlots(choice) &&
      (choice.kind === 'region' || !hasFreeRegion(request)) &&
      (isLate ||
        route.rank !== mostUrgentRank ||
        choice.waitMs > route.targetLatencyMs * SHORT_WAIT_RATIO)
    );
  };

  /**
   * Why the request is rejected for the sake of others. One that a server may have run already, or
   * that another host admitted, is not.
   */
  function shedCause(
    request: RoutingRequest,
    choice: LocalChoice | RegionChoice,
  ): OverloadCause | undefined {
    return request.isRetry || request.isRelayed || !isShort(request, choice)
      ? undefined
      : options.overload.shedCause(toAdmissionRequest(request));
  }

  /** A request that leaves its region to others goes to free servers elsewhere, if there are any. */
  function divertOrReject(
    request: RoutingRequest,
    choice: LocalChoice | RegionChoice,
    cause: OverloadCause,
    region: RegionChoice | undefined,
  ): Destination {
    return region !== undefined && hasFreeSlots(region) && isAdmitted(request, region)
      ? region
      : { ...reject(request, choice), cause };
  }

  /** Takes the first choice that admits the request; if none does, the request is rejected. */
  function admit(
    request: RoutingRequest,
    first: LocalChoice | RegionChoice,
    findSecond: () => LocalChoice | RegionChoice | undefined,
  ): Destination {
    if (isAdmitted(request, first)) {
      return first;
    }
    const second = findSecond();
    return second !== undefined && isAdmitted(request, second)
      ? second
      : { ...reject(request, first, second), cause: 'full' };
  }

  /**
   * Takes the first choice that admits the request, while no server of this region is reached. A neighbour
   * knows better how much room the servers have, and lets the request wait for it.
   */
  function admitElsewhere(
    request: RoutingRequest,
    choice: RegionChoice,
    findNeighbour: () => RegionChoice | undefined,
  ): Destination {
    if (choice.isOwnRegion || isAdmitted(request, choice)) {
      return choice;
    }
    return findNeighbour() ?? { ...reject(request, choice), cause: 'full' };
  }

  /** Where another host is sought for a request that this one can't send to a server. */
  function scopeFor(reason: LocalRejection['reason'], isRegionDoubtful: boolean): RegionScope {
    if (isRegionDoubtful) {
      return 'others';
    }
    switch (reason) {
      case 'unreachable':
        return 'all';
      case 'rejection-limited':
        return 'with-room';
      default:
        return 'others';
    }
  }

  return {
    choose(request) {
      const local = chooseLocal(request);
      const isRegionDoubtful = (request.neighbourRejections ?? 0) >= MAX_NEIGHBOUR_REJECTIONS;
      const neighbour =
        request.failsToConnect === true && !isRegionDoubtful
          ? chooseRegion(request, 'own')?.choice
          : undefined;
      if (neighbour !== undefined) {
        return request.isRelayed
          ? { kind: 'none', reason: 'unreachable' }
          : admit(request, neighbour, () => ('choice' in local ? local.choice : undefined));
      }
      const findRegion = (scope: RegionScope = 'others'): Scored<RegionChoice> | undefined =>
        request.isRelayed ? undefined : chooseRegion(request, scope);
      if (!('choice' in local)) {
        const isCutOff = local.reason === 'unreachable';
        const first = findRegion(scopeFor(local.reason, isRegionDoubtful));
        const choice = (first ?? (isCutOff && isRegionDoubtful ? findRegion('own') : undefined))
          ?.choice;
        if (choice === undefined) {
          return local;
        }
        const cause = shedCause(request, choice);
        return cause === undefined
          ? admitElsewhere(request, choice, () =>
              isCutOff ? findRegion('own')?.choice : undefined,
            )
          : divertOrReject(request, choice, cause, undefined);
      }
      const cause = shedCause(request, local.choice);
      if (cause !== undefined) {
        return divertOrReject(request, local.choice, cause, findRegion()?.choice);
      }
      const contentionMs = options.contentionMs(
        request,
        options.region,
        options.slotUsageRatio(request.service.name),
      );
      const staysLocal =
        contentionMs === 0 &&
        local.choice.stallMs === 0 &&
        local.choice.estimateMs <= request.route.targetLatencyMs * STAY_LOCAL_RATIO &&
        local.choice.finishMs <= request.remainingMs * STAY_LOCAL_RATIO;
      if (staysLocal) {
        return admit(request, local.choice, () => findRegion()?.choice);
      }
      const region = findRegion();
      const spills =
        region !== undefined && region.scoreMs + MIN_SPILL_GAIN_MS < local.scoreMs + contentionMs;
      return spills
        ? admit(request, region.choice, () => local.choice)
        : admit(request, local.choice, () => region?.choice);
    },
  };
}

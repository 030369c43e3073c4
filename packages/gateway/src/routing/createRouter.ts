import { mostUrgentRank } from '../model/mostUrgentRank.js';
import type { LoadTracker } from './createLoadTracker.js';
import type { LocalChooser } from './createLocalChooser.js';
import type { RegionChooser } from './createRegionChooser.js';
import type { RoutingRequest, Destination, LocalChoice, RegionChoice } from './Destination.js';

/** Gain below which a request is not worth its way to another region. */
const MIN_SPILL_GAIN_MS = 80;
/** Requests that are expected within this part of their target stay in the region. */
const STAY_TARGET_RATIO = 0.5;
/** Part of a request's target for which it may wait for others. */
const ADMITTED_WAIT_RATIO = 0.9;
/**
 * Length of a long answer in answers of the usual length: where lengths spread as on the platform,
 * nine of ten answers are shorter.
 */
const LONG_ANSWER_RATIO = 2.5;
/** Servers with fewer places taken are not full, however long the estimated wait is. */
const FREE_PLACES_RATIO = 0.5;

export interface RouterOptions {
  readonly chooseLocal: LocalChooser;
  readonly chooseRegion: RegionChooser;
  readonly loads: LoadTracker;
}

export interface Router {
  choose(demand: RoutingRequest): Destination;
}

/** Creates the choice of a server, of another region, or of a refusal for each request. */
export function createRouter(options: RouterOptions): Router {
  const { chooseLocal, chooseRegion, loads } = options;

  /** Whether servers that may take the request have many places free. */
  function hasFreePlaces(demand: RoutingRequest, choice: LocalChoice | RegionChoice): boolean {
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
   * time, where each of them would be late otherwise. The pace of streams must let long answers of
   * the route end in time, whatever the length of this one: judged by its own, callers of long
   * answers would be refused more than others, and by the usual one, they would wait in vain. The
   * most urgent requests are refused last, only where the usual answer would be late.
   */
  function admit(demand: RoutingRequest, choice: LocalChoice | RegionChoice): Destination {
    const longFinishMs =
      demand.route.rank === mostUrgentRank
        ? choice.typicalFinishMs
        : choice.typicalFinishMs * LONG_ANSWER_RATIO;
    const admits =
      demand.isRetry ||
      hasFreePlaces(demand, choice) ||
      (choice.waitMs <= demand.route.targetLatencyMs * ADMITTED_WAIT_RATIO &&
        choice.estimateMs + longFinishMs <= demand.remainingMs);
    return admits ? choice : { kind: 'none', reason: 'overloaded', refused: choice };
  }

  return {
    choose(demand) {
      const local = chooseLocal(demand);
      const usableLocal = local === undefined || local === 'cold' ? undefined : local;
      const stays =
        usableLocal !== undefined &&
        usableLocal.choice.estimateMs <= demand.route.targetLatencyMs * STAY_TARGET_RATIO &&
        usableLocal.choice.finishMs <= demand.remainingMs * STAY_TARGET_RATIO;
      const region = demand.isRelayed || stays ? undefined : chooseRegion(demand);
      if (usableLocal === undefined) {
        return region === undefined
          ? { kind: 'none', reason: local === 'cold' ? 'cold' : 'no-server' }
          : admit(demand, region.choice);
      }
      const spills =
        region !== undefined && region.scoreMs + MIN_SPILL_GAIN_MS < usableLocal.scoreMs;
      return admit(demand, spills ? region.choice : usableLocal.choice);
    },
  };
}

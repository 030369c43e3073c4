import type { Clock } from '@camphorbarrow/core';
import type { Route } from '../model/Route.js';

/** Number of recent requests of a route that tell how long its callers wait. */
const SAMPLES = 64;
/** Requests among them with a shorter deadline than usual: retries after failures, hasty callers. */
const UNUSUAL_SAMPLES = 3;
/** Rejected part of the requests up to which returning callers are among the unusual ones. */
const CALM_REJECTED_RATIO = 0.04;
/** Time constant of that part, in timeouts of the route: rejected callers return within a third. */
const AVERAGING_RATIO = 0.4;
/** Requests that count as accepted beside the observed ones, so that a single rejection is calm. */
const PRIOR_REQUESTS = 25;

/** Routes that are observed; the one that was first asked for longest ago is dropped for another. */
const MAX_ROUTES = 1_024;

type RouteTarget = Pick<Route, 'name' | 'timeoutMs' | 'targetLatencyMs'>;

/** Tells which requests cannot be on time any more because their callers were rejected before. */
export interface LateReturns {
  /**
   * Whether the caller of a new request has waited for longer than the target already.
   *
   * @param deadlineMs time that the caller has left, by its request
   */
  isLate(route: RouteTarget, deadlineMs: number): boolean;
  recordRejection(route: RouteTarget): void;
}

interface RouteRecord {
  deadlinesMs: readonly number[];
  /** Recent requests and rejections, which count less with their age. */
  requests: number;
  rejected: number;
  updatedAtMs: number;
}

/**
 * Creates the decision of one host. It answers callers that return from a rejection: they are late
 * whatever happens, and while room is short each of them takes the place of one that can still be on
 * time. A request says how much time its caller has left, but not how much it had. While few are
 * rejected, the host therefore observes what is usual for a route; a caller that has less than that by
 * more than the target was there before. Nothing counts as late before enough was observed.
 */
export function createLateReturns(clock: Clock): LateReturns {
  const routes = new Map<string, RouteRecord>();

  function recordOf({ name, timeoutMs }: RouteTarget): RouteRecord {
    const nowMs = clock.monotonicMs();
    const known = routes.get(name) ?? {
      deadlinesMs: [],
      requests: 0,
      rejected: 0,
      updatedAtMs: nowMs,
    };
    const [oldest] = routes.keys();
    if (oldest !== undefined && !routes.has(name) && routes.size >= MAX_ROUTES) {
      routes.delete(oldest);
    }
    routes.set(name, known);
    const decay = Math.exp((known.updatedAtMs - nowMs) / (timeoutMs * AVERAGING_RATIO));
    known.requests *= decay;
    known.rejected *= decay;
    known.updatedAtMs = nowMs;
    return known;
  }

  /** Deadline that nearly all callers exceed when they ask for the first time. */
  function shortestUsualMs({ deadlinesMs }: RouteRecord): number {
    return deadlinesMs.length < SAMPLES
      ? -Infinity
      : ([...deadlinesMs].sort((a, b) => a - b)[UNUSUAL_SAMPLES] ?? -Infinity);
  }

  return {
    isLate(route, deadlineMs) {
      const known = recordOf(route);
      known.requests += 1;
      if (known.rejected / (known.requests + PRIOR_REQUESTS) <= CALM_REJECTED_RATIO) {
        known.deadlinesMs = [...known.deadlinesMs.slice(1 - SAMPLES), deadlineMs];
        return false;
      }
      return deadlineMs + route.targetLatencyMs < shortestUsualMs(known);
    },
    recordRejection(route) {
      recordOf(route).rejected += 1;
    },
  };
}

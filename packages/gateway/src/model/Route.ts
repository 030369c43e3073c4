import type { RegionId } from '@camphorbarrow/core';
import type { ServiceName } from './ServiceName.js';

/** A service that a route sends to, with its share of the route's requests. */
export interface RouteTarget {
  readonly service: ServiceName;
  /** Relative weight; the weights of a route need not sum to any particular figure. */
  readonly weight: number;
}

/** One entry of the routing table. */
export interface Route {
  readonly name: string;
  /** Host name in lower case, without a port. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  /** Whether a request may run more than once. Streams are idempotent only when resumable. */
  readonly idempotent: boolean;
  /** `events`: the answer is a stream of server-sent events; `whole`: one body. */
  readonly delivery: 'whole' | 'events';
  /** Whether a broken stream may go on at another server after its last event. */
  readonly resumable: boolean;
  /** Longest time for which a caller is kept waiting. */
  readonly timeoutMs: number;
  /** Time to the answer, or to the first event, for full value. */
  readonly targetLatencyMs: number;
  /** Longest pause between events of an answer that is on time. */
  readonly targetGapMs: number;
  /** Priority class; 0 is the most urgent. */
  readonly rank: number;
  /** Number of servers that may run one attempt. */
  readonly maxServers: number;
  readonly targets: readonly RouteTarget[];
  /** Regions that may see the request; empty when every region may. */
  readonly homeRegions: readonly RegionId[];
}

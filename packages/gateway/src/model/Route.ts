import type { RegionId } from '@camphorbarrow/core';
import type { ServiceName } from './ServiceName.js';

/** Service that receives a share of a route's requests. */
export interface RouteTarget {
  readonly service: ServiceName;
  /** Relative weight; the weights of a route do not have to add up to a fixed sum. */
  readonly weight: number;
}

/** One entry of the routing table. */
export interface Route {
  readonly name: string;
  /** Host name in lower case, without a port. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  /** Whether callers need no key where the configuration has customers. */
  readonly anonymous: boolean;
  /** Whether a request may be executed more than once; for streams, only if they are resumable. */
  readonly idempotent: boolean;
  /** `events`: the response is a stream of server-sent events; `whole`: a single body. */
  readonly delivery: 'whole' | 'events';
  /** Whether another server can continue a broken stream after its last event. */
  readonly resumable: boolean;
  /** Maximum time for which a caller waits for the response. */
  readonly timeoutMs: number;
  /** Target time to the response, or to the first event of a stream; later ones have less value. */
  readonly targetLatencyMs: number;
  /** Target for the longest gap between two events of a stream. */
  readonly targetGapMs: number;
  /** Priority class; 0 is the most urgent. */
  readonly rank: number;
  /** Maximum number of servers that may execute one attempt. */
  readonly maxServers: number;
  readonly targets: readonly RouteTarget[];
  /** Regions that may process the request; empty if all may. */
  readonly homeRegions: readonly RegionId[];
}

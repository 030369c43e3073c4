import type { Fingerprint } from '@camphorbarrow/core';
import type { Route } from '../model/Route.js';
import type { RequestMetadata } from '../model/RequestMetadata.js';
import type { ServiceSpec } from '../model/ServiceSpec.js';
import type { ResponseWriter } from './ResponseWriter.js';

/** One request that was read whole and has a route. */
export interface Exchange {
  readonly method: string;
  /** Request target, as the caller sent it. */
  readonly target: string;
  /** Names and values by turns, as they arrived. */
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
  /** Hash of what makes the request the same when it comes again; computed when first asked for. */
  readonly fingerprint: () => Fingerprint;
  readonly metadata: RequestMetadata;
  /** Events that the answer is expected to have. */
  readonly expectedEvents: number;
  /** Events that answers of the route usually have. */
  readonly typicalEvents: number;
  readonly route: Route;
  readonly service: ServiceSpec;
  readonly tableVersion: number;
  /** Monotonic time of arrival. */
  readonly arrivedAtMs: number;
  /** Monotonic time after which nobody waits for the answer. */
  readonly deadlineAtMs: number;
  /** Entry host that passed the request on; undefined for a caller's own request. */
  readonly relayedBy: string | undefined;
  readonly responseWriter: ResponseWriter;
}

import type { ServerId } from '@camphorbarrow/core';
import type { Route } from '../model/Route.js';
import type { RequestMetadata } from '../model/RequestMetadata.js';
import type { ServerState } from '../model/ServerState.js';
import type { ServiceSpec } from '../model/ServiceSpec.js';
import type { Peer } from '../peers/createPeerRegistry.js';
import type { CacheFetch } from './planCacheFetch.js';

/** A request that needs a place. */
export interface RoutingRequest {
  readonly route: Route;
  readonly service: ServiceSpec;
  readonly metadata: RequestMetadata;
  /** Events that the answer is expected to have. */
  readonly expectedEvents: number;
  /** Events that answers of the route usually have. */
  readonly typicalEvents: number;
  /** Time after which nobody waits for the answer. */
  readonly remainingMs: number;
  /** Servers that were tried already. */
  readonly triedServers: ReadonlySet<ServerId>;
  /** Hosts that were asked already; one answer of a region speaks for the region. */
  readonly triedRegions: ReadonlySet<string>;
  /** Whether the request cost a server work before; it is not refused for its wait. */
  readonly isRetry: boolean;
  /** Whether another entry host passed the request on; it must be served in this region. */
  readonly isRelayed: boolean;
}

export type LocalChoice = Extract<Destination, { kind: 'server' }>;
export type RegionChoice = Extract<Destination, { kind: 'region' }>;

/** Where a request goes next. Estimates are of the time to its first event or answer. */
export type Destination =
  | {
      readonly kind: 'server';
      readonly server: ServerState;
      /** Rank that the server is told. */
      readonly rank: number;
      readonly estimateMs: number;
      /** Part of the estimate that the request waits for others. */
      readonly waitMs: number;
      /** Time from the first event to the end of the answer. */
      readonly finishMs: number;
      /** The same for an answer of the usual length. */
      readonly typicalFinishMs: number;
      /** Transfer of cached tokens before the prompt is read. */
      readonly fetch: CacheFetch | undefined;
      /** Prompt tokens that the server has to read. */
      readonly uncachedTokens: number;
      /** Prompt tokens that it reads before this request's own. */
      readonly tokensAhead: number;
      /** Requests that it runs. */
      readonly running: number;
    }
  | {
      readonly kind: 'region';
      readonly peer: Peer;
      readonly estimateMs: number;
      readonly waitMs: number;
      readonly finishMs: number;
      /** The same for an answer of the usual length. */
      readonly typicalFinishMs: number;
    }
  | { readonly kind: 'none'; readonly reason: 'no-server' | 'cold' }
  | {
      readonly kind: 'none';
      readonly reason: 'overloaded';
      /** The best choice, which is too slow. */
      readonly refused: LocalChoice | RegionChoice;
    };

import type { CustomerId, HostId, ServerId } from '@camphorbarrow/core';
import type { Route } from '../model/Route.js';
import type { RequestMetadata } from '../model/RequestMetadata.js';
import type { ServerState } from '../model/ServerState.js';
import type { SoftwareVersion } from '../model/SoftwareVersion.js';
import type { ServiceSpec } from '../model/ServiceSpec.js';
import type { OverloadCause } from '../overload/createOverloadControl.js';
import type { Peer } from '../peers/createPeerRegistry.js';
import type { CacheFetch } from './planCacheFetch.js';

/** Request for which the router selects a destination. */
export interface RoutingRequest {
  readonly route: Route;
  readonly service: ServiceSpec;
  /** Undefined for a caller without a key, and where the configuration has no customers. */
  readonly customer?: CustomerId | undefined;
  readonly metadata: RequestMetadata;
  /** Expected number of events in the response. */
  readonly expectedEvents: number;
  /** Typical number of events in responses of the route. */
  readonly typicalEvents: number;
  /** Time until the deadline of the request. */
  readonly remainingMs: number;
  /** Servers that were already tried. */
  readonly triedServers: ReadonlySet<ServerId>;
  /** Regions with a host that rejected the request or was unreachable; they are not tried again. */
  readonly triedRegions: ReadonlySet<string>;
  /** Hosts that rejected the request for a reason of their own. */
  readonly rejectingHosts: ReadonlySet<HostId>;
  /** Whether a server may already have run the request; it is then not rejected for overload. */
  readonly isRetry: boolean;
  /** Whether this host failed to connect to servers for this request; other hosts may reach them. */
  readonly failsToConnect?: boolean | undefined;
  /** Number of hosts of this region that rejected the request for reasons of their own. */
  readonly neighbourRejections?: number | undefined;
  /** Whether another entry host relayed the request; it must then be processed in this region. */
  readonly isRelayed: boolean;
  /** Whether no server may run the request after this one, so that a failure reaches the caller. */
  readonly isLastRun?: boolean | undefined;
  /** Whether the caller has waited for longer than the target already, after a rejection. */
  readonly isLate?: boolean | undefined;
  /** Version at which the stream was begun; undefined if servers of any version may take it. */
  readonly requiredVersion?: SoftwareVersion | undefined;
  /** Whether the stream may only go on if the version that begins it is known. */
  readonly dependsOnVersion?: boolean | undefined;
}

export type LocalChoice = Extract<Destination, { kind: 'server' }>;
/** Rejection of a request that no server of this region can receive. */
export type LocalRejection = Exclude<
  Extract<Destination, { kind: 'none' }>,
  { reason: 'overloaded' }
>;
export type RegionChoice = Extract<Destination, { kind: 'region' }>;

/** Rejection of a request while all servers that it may use are too busy. */
export type OverloadRejection = Pick<
  Extract<Destination, { reason: 'overloaded' }>,
  'cause' | 'roomInMs' | 'fitsWithoutQueue'
>;

/** Where to send a request. `estimateMs` is the expected time to the first event or response. */
export type Destination =
  | {
      readonly kind: 'server';
      readonly server: ServerState;
      /** Rank that is sent to the server. */
      readonly rank: number;
      readonly estimateMs: number;
      /** Part of the estimate spent waiting for other requests. */
      readonly waitMs: number;
      /** Time from the first event to the end of the response. */
      readonly finishMs: number;
      /** Like `finishMs`, for a response of typical length. */
      readonly typicalFinishMs: number;
      /** Contribution to the score of the streams that stall while the server prefills the prompt. */
      readonly stallMs: number;
      /** Transfer of cached tokens before the prefill. */
      readonly fetch: CacheFetch | undefined;
      /** Prompt tokens that the server has to prefill. */
      readonly uncachedTokens: number;
      /** Prompt tokens of other requests that the server prefills first. */
      readonly tokensAhead: number;
      /** Number of requests that the server is running. */
      readonly running: number;
      /** Added to the wait when the server was compared with others, because the loads are old. */
      readonly viewCorrectionMs: number;
      /** Cost of a failure that no other server could make good, by how often this server fails. */
      readonly failureMs: number;
    }
  | {
      readonly kind: 'region';
      readonly peer: Peer;
      /** Whether the peer is a host of this region, which reaches servers that this host does not. */
      readonly isOwnRegion: boolean;
      /** Running requests per slot of the servers of the region. */
      readonly slotUsageRatio: number;
      readonly estimateMs: number;
      readonly waitMs: number;
      readonly finishMs: number;
      /** Like `finishMs`, for a response of typical length. */
      readonly typicalFinishMs: number;
    }
  | {
      readonly kind: 'none';
      /**
       * - `rate-limited`: all usable servers are cold or have named a limit, and may not receive
       *   more requests of this host now.
       * - `rejection-limited`: all usable servers bear few rejections, and this host has its part of
       *   the requests at them already.
       * - `servers-leaving`: the servers that are left are about to stop.
       * - `unreachable`: this host reaches none of the region's servers, of which some are listed and
       *   not leaving.
       * - `version-gone`: no region has a server of the required version any more.
       */
      readonly reason:
        | 'no-server'
        | 'rate-limited'
        | 'rejection-limited'
        | 'servers-leaving'
        | 'unreachable'
        | 'version-gone';
    }
  | {
      readonly kind: 'none';
      /** All servers that are not leaving have asked this host for a pause. */
      readonly reason: 'servers-paused';
      /** Time until the first of the pauses ends. */
      readonly retryAfterMs: number;
    }
  | {
      readonly kind: 'none';
      readonly reason: 'overloaded';
      /** The best available choice, which would be too slow. */
      readonly rejected: LocalChoice | RegionChoice;
      /** Time until the queue of one of the choices is expected to be short enough. */
      readonly roomInMs: number;
      /** Whether the request would end before its deadline if no other one were ahead of it. */
      readonly fitsWithoutQueue: boolean;
      readonly cause: OverloadCause;
    };

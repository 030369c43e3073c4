import type { BodyBuffers, Fingerprint, PromptPartKey } from '@camphorbarrow/core';
import type { Customer } from '../model/Customer.js';
import type { Route } from '../model/Route.js';
import type { ConfigurationVersion } from '../model/RoutingTable.js';
import type { RequestMetadata } from '../model/RequestMetadata.js';
import type { SoftwareVersion } from '../model/SoftwareVersion.js';
import type { ServiceSpec } from '../model/ServiceSpec.js';
import type { Caller } from '../ports/WireCodec.js';
import type { ResponseWriter } from './ResponseWriter.js';

/** A routed request with its complete body, and the writer of its response. */
export interface Exchange {
  readonly method: string;
  /** Request target as received. */
  readonly target: string;
  /** Alternating names and values as received. */
  readonly rawHeaders: readonly string[];
  readonly body: Buffer;
  /** Holds the bodies of the request and of its responses until the response has been sent. */
  readonly bodies: BodyBuffers;
  /** Hash that identifies the request when it is sent again; computed on first use. */
  readonly fingerprint: () => Fingerprint;
  /** Keys of the prompt parts that other requests can share; computed on first use. */
  readonly sharedPartKeys: () => readonly PromptPartKey[];
  readonly metadata: RequestMetadata;
  /** Expected number of events in the response. */
  readonly expectedEvents: number;
  /** Typical number of events in responses of the route. */
  readonly typicalEvents: number;
  /** Undefined for a caller without a key, and where the configuration has no customers. */
  readonly customer: Customer | undefined;
  /** What servers are told of the caller; undefined where the configuration has no customers. */
  readonly caller: Caller | undefined;
  /** Route of the request, with the priority and the regions of its customer. */
  readonly route: Route;
  readonly service: ServiceSpec;
  readonly tableVersion: ConfigurationVersion;
  /** Whether the caller has waited for longer than the target already, after a rejection. */
  readonly isLate: boolean;
  /** Monotonic time of arrival. */
  readonly arrivedAtMs: number;
  /** Monotonic time at which the caller stops waiting for the response. */
  readonly deadlineAtMs: number;
  /** Entry host that relayed the request; undefined when it came from a caller. */
  readonly relayedBy: string | undefined;
  /** Whether that host is of this region: its callers are served here, as it can send to no server. */
  readonly isFromNeighbour: boolean;
  /** Version at which the relaying host requires the stream to go on. */
  readonly requiredVersion: SoftwareVersion | undefined;
  /** Whether the relaying host records by which version the stream was begun. */
  readonly isRecordedByRelay: boolean;
  /** Time in transit from the relaying host, in excess of a heartbeat's; undefined if unknown. */
  readonly excessTransitMs: number | undefined;
  readonly responseWriter: ResponseWriter;
}

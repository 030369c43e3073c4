import type { AvailabilityZoneId, ServerId } from '@camphorbarrow/core';
import type { Endpoint } from './Endpoint.js';
import type { ServiceName } from './ServiceName.js';

/** What a backend server says of itself in the store. */
export interface ServerRegistration {
  readonly id: ServerId;
  readonly service: ServiceName;
  readonly endpoint: Endpoint;
  readonly zone: AvailabilityZoneId;
  /** Requests that the server processes at the same time. */
  readonly slots: number;
  readonly state: 'ready' | 'draining';
  /** Time for which the server stays cold, from the moment of writing. */
  readonly coldRemainingMs: number;
  /** Number of the heartbeat; starts anew with a restarted server. */
  readonly sequence: number;
  /** Start of the process in milliseconds since the Unix epoch; undefined when it is not told. */
  readonly startedAtMs: number | undefined;
}

import type { AvailabilityZoneId, ServerId } from '@camphorbarrow/core';
import type { Endpoint } from './Endpoint.js';
import type { ServiceName } from './ServiceName.js';
import type { SoftwareVersion } from './SoftwareVersion.js';

/** Registration that a backend server writes to the store. */
export interface ServerRegistration {
  readonly id: ServerId;
  readonly service: ServiceName;
  readonly endpoint: Endpoint;
  readonly zone: AvailabilityZoneId;
  /** What servers of several versions write does not fit together in one stream. */
  readonly softwareVersion: SoftwareVersion;
  /** Maximum number of requests that the server processes concurrently. */
  readonly slots: number;
  readonly state: 'ready' | 'draining';
  /** Time for which the server stays cold, counted from when the entry was written. */
  readonly coldRemainingMs: number;
  /** Heartbeat sequence number; restarts when the server restarts. */
  readonly sequence: number;
  /** Process start in ms since the Unix epoch; undefined if the server does not report it. */
  readonly startedAtMs: number | undefined;
}

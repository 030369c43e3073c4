import type { AvailabilityZoneId, HostId, RegionId } from '@camphorbarrow/core';
import type { Endpoint } from './Endpoint.js';

/** Identity and addresses that an entry host publishes to its peers. */
export interface HostRegistration {
  readonly id: HostId;
  readonly region: RegionId;
  readonly zone: AvailabilityZoneId;
  /** Endpoint for connections from callers. */
  readonly callers: Endpoint;
  /** Endpoint for other entry hosts, over TCP and UDP. */
  readonly peers: Endpoint;
  /** Processor cores that the host may use, also fractions; undefined if it does not tell. */
  readonly cores?: number | undefined;
}

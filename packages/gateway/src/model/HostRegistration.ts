import type { AvailabilityZoneId, HostId, RegionId } from '@camphorbarrow/core';
import type { Endpoint } from './Endpoint.js';

/** What an entry host tells the others of itself. */
export interface HostRegistration {
  readonly id: HostId;
  readonly region: RegionId;
  readonly zone: AvailabilityZoneId;
  /** Where callers connect. */
  readonly callers: Endpoint;
  /** Where other entry hosts connect, over TCP and UDP. */
  readonly peers: Endpoint;
}

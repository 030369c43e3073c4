import type { Brand } from './Brand.js';

/** Name of an availability zone, unique in the deployment. */
export type AvailabilityZoneId = Brand<string, 'AvailabilityZoneId'>;

import type { HostId } from '../ids/HostId.js';
import type { Incarnation } from '../ids/Incarnation.js';
import type { RegionId } from '../ids/RegionId.js';

/** Identity of the entry host process that executes orders. */
export interface ExecutorIdentity {
  readonly hostId: HostId;
  readonly incarnation: Incarnation;
  readonly regionId: RegionId;
}

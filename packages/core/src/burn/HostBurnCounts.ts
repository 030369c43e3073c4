import type { HostId } from '../ids/HostId.js';
import type { RegionId } from '../ids/RegionId.js';
import type { BurnMinuteCounts } from './BurnMinuteCounts.js';

/** Counters of one entry host, as collected for the burn report. */
export interface HostBurnCounts {
  readonly hostId: HostId;
  readonly regionId: RegionId;
  /** Wall-clock start of the process. Requests before it are not counted. */
  readonly startedAtMs: number;
  readonly minutes: readonly BurnMinuteCounts[];
}

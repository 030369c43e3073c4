import type { RegionId } from '@camphorbarrow/core';

/** Load of a region as one of its entry hosts last told the others. */
export interface RegionLoad {
  readonly regionId: RegionId;
  readonly runningRequests: number;
  readonly waitingRequests: number;
  readonly maxConcurrentRequests: number;
  /** Whether the region sent work to other regions in the last second. */
  readonly spilling: boolean;
  /** Monotonic time at which the figures were true. */
  readonly atMs: number;
}

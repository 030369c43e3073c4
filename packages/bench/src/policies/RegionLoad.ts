import type { RegionId } from '@camphorbarrow/core';

/** Load of a region as last reported by one of its entry hosts. */
export interface RegionLoad {
  readonly regionId: RegionId;
  readonly runningRequests: number;
  readonly waitingRequests: number;
  readonly maxConcurrentRequests: number;
  /** Whether the region sent work to other regions in the last second. */
  readonly spilling: boolean;
  /** Monotonic time at which the load was read. */
  readonly atMs: number;
}

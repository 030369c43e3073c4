import type { RegionId } from '@camphorbarrow/core';

/** Load of a region as one of its entry hosts sees it. */
export interface RegionLoad {
  readonly regionId: RegionId;
  readonly runningRequests: number;
  readonly waitingRequests: number;
  readonly maxConcurrentRequests: number;
  /** Whether that entry host sent a request to another region in the last second. */
  readonly spilling: boolean;
  /** Monotonic time at which the load was read. */
  readonly atMs: number;
}

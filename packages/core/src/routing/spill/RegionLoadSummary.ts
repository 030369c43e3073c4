/**
 * Load of one region as one of its entry hosts sees it. Travels in heartbeats; all numbers are
 * bounded integers, so that its JSON stays below 128 bytes.
 */
export interface RegionLoadSummary {
  /** Requests the region's accepting engines can run at the same time. */
  readonly capacity: number;
  /** Requests running or waiting at these engines. */
  readonly inUse: number;
  /** Least queueing of a new request, without reading its prompt. */
  readonly firstTokenWaitMs: number;
  /** Whether the host has sent work to another region recently. */
  readonly spilling: boolean;
}

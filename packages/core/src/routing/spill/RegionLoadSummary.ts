/**
 * Load of a region as seen by one of its entry hosts, sent in heartbeats. All numbers are bounded
 * integers, so that the JSON has at most 128 bytes.
 */
export interface RegionLoadSummary {
  /** Requests that the region's accepting engines can run concurrently. */
  readonly capacity: number;
  /** Requests that are running or waiting at these engines. */
  readonly inUse: number;
  /** Shortest queueing time of a new request, without the prefill of its prompt. */
  readonly firstTokenWaitMs: number;
  /** Whether the entry host has recently forwarded requests to another region. */
  readonly spilling: boolean;
}

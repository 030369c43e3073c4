import type { PeerDescription } from './PeerDescription.js';

/** Another entry host as this one sees it. */
export interface PeerView extends PeerDescription {
  /** Whether a heartbeat of it, direct or passed on, arrived within the failure time-out. */
  readonly reachable: boolean;
  /** Monotonic time at which the description arrived. */
  readonly lastSeenAtMs: number;
}

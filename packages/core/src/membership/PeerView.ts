import type { PeerDescription } from './PeerDescription.js';

/** Another entry host as seen by this one. */
export interface PeerView extends PeerDescription {
  /** Whether a heartbeat of the peer, direct or relayed, arrived within the failure timeout. */
  readonly reachable: boolean;
  /** Monotonic time at which the description was received. */
  readonly lastSeenAtMs: number;
}

import type { PeerDescription } from './PeerDescription.js';

/** Another entry host as seen by this one. */
export interface PeerView extends PeerDescription {
  /**
   * Whether a new description of the peer, from the peer itself, another peer or a registration,
   * arrived within the failure timeout.
   */
  readonly reachable: boolean;
  /** Monotonic time at which the description was received. */
  readonly lastSeenAtMs: number;
}

import type { PeerDescription } from './PeerDescription.js';

/** Heartbeat message between entry hosts; the response has the same form. */
export interface Heartbeat {
  readonly sender: PeerDescription;
  /** Other entry hosts that the sender considers reachable; a limited random sample. */
  readonly known: readonly PeerDescription[];
}

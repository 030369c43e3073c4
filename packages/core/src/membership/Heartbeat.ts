import type { PeerDescription } from './PeerDescription.js';

/** Message of one heartbeat exchange; the answer has the same form. */
export interface Heartbeat {
  readonly sender: PeerDescription;
  /** Other entry hosts the sender has heard of recently. */
  readonly known: readonly PeerDescription[];
}

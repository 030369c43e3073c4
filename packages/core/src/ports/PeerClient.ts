import type { ConfigRevision } from '../config/ConfigRevision.js';
import type { StoredFleetDocument } from '../config/FleetDocument.js';
import type { Heartbeat } from '../membership/Heartbeat.js';

/**
 * Calls to other entry hosts. Methods reject with `PeerUnavailableError` when the peer does not
 * answer in time.
 */
export interface PeerClient {
  heartbeat(peerUrl: string, message: Heartbeat): Promise<Heartbeat>;
  /** The configuration in force at the peer; undefined when it has none. */
  fetchConfig(peerUrl: string): Promise<StoredFleetDocument | undefined>;
  /** Hands a configuration to a peer; resolves to the revision in force there afterwards. */
  pushConfig(peerUrl: string, document: StoredFleetDocument): Promise<ConfigRevision>;
  close(): Promise<void>;
}

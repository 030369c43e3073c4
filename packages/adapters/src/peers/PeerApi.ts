import type { ConfigRevision, Heartbeat, StoredFleetDocument } from '@camphorbarrow/core';

/** What the peer listener needs from the gateway. */
export interface PeerApi {
  receiveHeartbeat(message: Heartbeat): Heartbeat;
  currentConfig(): StoredFleetDocument | undefined;
  /** Takes a configuration over when it is newer; returns the revision in force afterwards. */
  adoptConfig(document: StoredFleetDocument): ConfigRevision;
}

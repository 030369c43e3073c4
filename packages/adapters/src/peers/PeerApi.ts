import type {
  ClaimQuery,
  ClaimStatus,
  Heartbeat,
  RelayResult,
  RelayedOrder,
  StoredFleetDocument,
} from '@camphorbarrow/core';

/** What the peer listener needs from the gateway. */
export interface PeerApi {
  receiveHeartbeat(message: Heartbeat): Heartbeat;
  currentConfig(): StoredFleetDocument | undefined;
  /** Takes a configuration over when it is newer; returns the version in force afterwards. */
  adoptConfig(document: StoredFleetDocument): number;
  /** Executes an order that a peer relayed to the issuer of its permit. */
  relayOrder(order: RelayedOrder): Promise<RelayResult>;
  /** Answers about a claim of this process. */
  orderOutcome(query: ClaimQuery): Promise<ClaimStatus>;
}

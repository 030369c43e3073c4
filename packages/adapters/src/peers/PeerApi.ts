import type {
  ConfigRevision,
  CrashReport,
  Heartbeat,
  HostBurnCounts,
  HostListEntry,
  ClaimQuery,
  ClaimStatus,
  RelayResult,
  RelayedOrder,
  StoredFleetDocument,
} from '@camphorbarrow/core';

/** What the peer listener needs from the gateway. */
export interface PeerApi {
  receiveHeartbeat(message: Heartbeat): Heartbeat;
  currentConfig(): StoredFleetDocument | undefined;
  /** Adopts a configuration if it is newer; returns the revision that is current afterwards. */
  adoptConfig(document: StoredFleetDocument): ConfigRevision;
  /** Counters of this host for the report on service-level burn. */
  burnCounters(): HostBurnCounts;
  /** Merges a crash report and returns this host's view of the crash. */
  receiveCrash(report: CrashReport): CrashReport;
  /** Entries of the host list that this host uses. */
  servers(): readonly HostListEntry[];
  /** Executes an order that a peer relayed to the issuer of its permit. */
  relayOrder(order: RelayedOrder): Promise<RelayResult>;
  /** Status of a claim of this process. */
  orderOutcome(query: ClaimQuery): Promise<ClaimStatus>;
}

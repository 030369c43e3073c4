import type {
  ConfigRevision,
  CrashReport,
  Heartbeat,
  HostListEntry,
  StoredFleetDocument,
} from '@camphorbarrow/core';

/** What the peer listener needs from the gateway. */
export interface PeerApi {
  receiveHeartbeat(message: Heartbeat): Heartbeat;
  currentConfig(): StoredFleetDocument | undefined;
  /** Takes a configuration over when it is newer; returns the revision in force afterwards. */
  adoptConfig(document: StoredFleetDocument): ConfigRevision;
  /** Merges a crash report and answers with this host's view of the crash. */
  receiveCrash(report: CrashReport): CrashReport;
  /** Entries of the host list that this host uses. */
  servers(): readonly HostListEntry[];
}

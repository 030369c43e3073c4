import type { HostBurnCounts } from '../burn/HostBurnCounts.js';
import type { ConfigRevision } from '../config/ConfigRevision.js';
import type { StoredFleetDocument } from '../config/FleetDocument.js';
import type { Heartbeat } from '../membership/Heartbeat.js';
import type { CrashReport } from '../quarantine/CrashReport.js';
import type { HostListEntry } from './HostList.js';
import type { ClaimQuery, ClaimStatus } from '../orders/ClaimStatus.js';
import type { RelayResult, RelayedOrder } from '../orders/RelayedOrder.js';

/**
 * Calls to other entry hosts. Methods reject with `PeerUnavailableError` when the peer does not
 * respond in time.
 */
export interface PeerClient {
  heartbeat(peerUrl: string, message: Heartbeat): Promise<Heartbeat>;
  /** The peer's current configuration; undefined when it has none. */
  fetchConfig(peerUrl: string): Promise<StoredFleetDocument | undefined>;
  /** Sends a configuration to a peer; resolves to the revision that is current there afterwards. */
  pushConfig(peerUrl: string, document: StoredFleetDocument): Promise<ConfigRevision>;
  /** Sends a crash report to a peer; resolves to the peer's report of the same crash. */
  reportCrash(peerUrl: string, report: CrashReport): Promise<CrashReport>;
  /** The host list as the peer last read it. */
  fetchServers(peerUrl: string): Promise<readonly HostListEntry[]>;
  /** Relays an order to the issuer of its permit. After a failure the order may have run. */
  relayOrder(peerUrl: string, order: RelayedOrder, timeoutMs: number): Promise<RelayResult>;
  /** Queries the status of a claim from the host that holds it. */
  orderOutcome(peerUrl: string, query: ClaimQuery, timeoutMs: number): Promise<ClaimStatus>;
  /** The peer's counters for the report on error-budget burn. */
  burnCounters(peerUrl: string): Promise<HostBurnCounts>;
  close(): Promise<void>;
}

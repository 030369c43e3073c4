import { createBurnReport } from '@camphorbarrow/core';
import type {
  BurnReport,
  Clock,
  FleetDocument,
  HostBurnCounts,
  PeerClient,
  PeerTable,
  PeerView,
} from '@camphorbarrow/core';

export interface CollectBurnReportOptions {
  readonly clock: Clock;
  readonly document: FleetDocument;
  readonly own: HostBurnCounts;
  readonly peers: PeerTable;
  readonly peerClient: Pick<PeerClient, 'burnCounters'>;
}

const MAX_CONCURRENT_CALLS = 64;

/** Collects the counters of all known entry hosts into one report. */
export async function collectBurnReport(options: CollectBurnReportOptions): Promise<BurnReport> {
  const { clock, document, own, peers, peerClient } = options;
  const pendingPeers: PeerView[] = [...peers.peers()];
  const unresponsiveHosts = pendingPeers
    .filter((peer) => !peer.reachable)
    .map((peer) => peer.hostId);
  const hosts: HostBurnCounts[] = [own];

  async function queryPendingPeers(): Promise<void> {
    for (let peer = pendingPeers.pop(); peer !== undefined; peer = pendingPeers.pop()) {
      if (!peer.reachable) {
        continue;
      }
      try {
        hosts.push(await peerClient.burnCounters(peer.peerUrl));
      } catch {
        unresponsiveHosts.push(peer.hostId);
      }
    }
  }

  await Promise.all(Array.from({ length: MAX_CONCURRENT_CALLS }, queryPendingPeers));
  return createBurnReport({
    nowMs: clock.nowMs(),
    document,
    hosts,
    unresponsiveHosts,
  });
}

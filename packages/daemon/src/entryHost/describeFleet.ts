import type { FleetStatus, HostStatus, ServerStatus } from '@camphorbarrow/adapters';
import type {
  ConfigManager,
  PeerDescription,
  PeerTable,
  ServerRegistry,
  ServerView,
} from '@camphorbarrow/core';

export interface DescribeFleetOptions {
  readonly self: () => Omit<PeerDescription, 'sequence'>;
  readonly config: ConfigManager;
  readonly peers: PeerTable;
  readonly registry: ServerRegistry;
}

function toHostStatus(host: Omit<PeerDescription, 'sequence'>, reachable: boolean): HostStatus {
  return {
    hostId: host.hostId,
    region: host.regionId,
    availabilityZone: host.availabilityZoneId,
    state: host.state,
    reachable,
    configVersion: host.configVersion,
    configChangeId: host.configChangeId,
    peerUrl: host.peerUrl,
  };
}

function toServerStatus({ entry, load, accepting }: ServerView): ServerStatus {
  return {
    serverId: entry.serverId,
    kind: entry.kind,
    region: entry.regionId,
    availabilityZone: entry.availabilityZoneId,
    accepting,
    runningRequests: load?.runningRequests,
    waitingRequests: load?.waitingRequests,
  };
}

/** Describes what this entry host knows of the deployment, for operators. */
export function describeFleet(options: DescribeFleetOptions): FleetStatus {
  return {
    self: toHostStatus(options.self(), true),
    storeReachable: options.config.storeReachable(),
    peers: options.peers
      .peers()
      .map((peer) => toHostStatus(peer, peer.reachable))
      .sort((a, b) => (a.hostId < b.hostId ? -1 : 1)),
    servers: options.registry
      .servers()
      .map(toServerStatus)
      .sort((a, b) => (a.serverId < b.serverId ? -1 : 1)),
  };
}

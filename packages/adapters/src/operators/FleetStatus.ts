/** An entry host in a status report. */
export interface HostStatus {
  readonly hostId: string;
  readonly region: string;
  readonly availabilityZone: string;
  readonly state: 'live' | 'draining';
  readonly reachable: boolean;
  readonly configVersion: number;
  readonly configChangeId: string;
  readonly peerUrl: string;
}

/** A backend server in a status report. */
export interface ServerStatus {
  readonly serverId: string;
  readonly kind: 'engine' | 'service';
  readonly region: string;
  readonly availabilityZone: string;
  /** Whether new work is sent to the server. */
  readonly accepting: boolean;
  readonly runningRequests: number | undefined;
  readonly waitingRequests: number | undefined;
}

/** What one entry host knows of the deployment. */
export interface FleetStatus {
  readonly self: HostStatus;
  readonly storeReachable: boolean;
  /** Other entry hosts, as of their last heartbeats, which are about a second old. */
  readonly peers: readonly HostStatus[];
  readonly servers: readonly ServerStatus[];
}

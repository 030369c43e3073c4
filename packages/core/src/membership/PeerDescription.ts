import type { AvailabilityZoneId } from '../ids/AvailabilityZoneId.js';
import type { HostId } from '../ids/HostId.js';
import type { Incarnation } from '../ids/Incarnation.js';
import type { RegionId } from '../ids/RegionId.js';
import type { RegionLoadSummary } from '../routing/spill/RegionLoadSummary.js';

/** What an entry host says of itself in heartbeats and in its registration. */
export interface PeerDescription {
  readonly hostId: HostId;
  readonly incarnation: Incarnation;
  /** Wall-clock start of the process; a later start replaces an earlier one of the same host. */
  readonly startedAtMs: number;
  readonly regionId: RegionId;
  readonly availabilityZoneId: AvailabilityZoneId;
  /** Base URL for callers, with an IP address. */
  readonly callerUrl: string;
  /** Base URL for peers, with an IP address. */
  readonly peerUrl: string;
  readonly state: 'live' | 'draining';
  /** Grows with every heartbeat round of the host. */
  readonly sequence: number;
  readonly configVersion: number;
  /** Change that made the configuration in force; empty when there is none. */
  readonly configChangeId: string;
  /** Load of the host's region as the host sees it; absent in registrations. */
  readonly regionLoad?: RegionLoadSummary | undefined;
}

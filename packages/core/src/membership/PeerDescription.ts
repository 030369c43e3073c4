import type { AvailabilityZoneId } from '../ids/AvailabilityZoneId.js';
import type { HostId } from '../ids/HostId.js';
import type { Incarnation } from '../ids/Incarnation.js';
import type { RegionId } from '../ids/RegionId.js';
import type { RegionLoadSummary } from '../routing/spill/RegionLoadSummary.js';

/** Description of an entry host that it publishes in heartbeats and in its registration. */
export interface PeerDescription {
  readonly hostId: HostId;
  readonly incarnation: Incarnation;
  /**
   * Wall-clock start time of the process. A later start of the same host supersedes an earlier one.
   */
  readonly startedAtMs: number;
  readonly regionId: RegionId;
  readonly availabilityZoneId: AvailabilityZoneId;
  /** Base URL for callers, with an IP address. */
  readonly callerUrl: string;
  /** Base URL for peers, with an IP address. */
  readonly peerUrl: string;
  readonly state: 'live' | 'draining';
  /** Increases with every heartbeat round of the host. */
  readonly sequence: number;
  readonly configVersion: number;
  /** Change that created the current configuration; empty when there is none. */
  readonly configChangeId: string;
  /** Load of the host's region as seen by the host; absent in registrations. */
  readonly regionLoad?: RegionLoadSummary | undefined;
}

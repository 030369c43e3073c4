import type { CrashReport, PartEvidence, PromptPartKey, ServerId } from '@camphorbarrow/core';
import type { RejectionLimitReport } from '../limits/createRejectionLimits.js';
import type { ServerLimitReport } from '../limits/createServerLimits.js';
import type { HostRegistration } from '../model/HostRegistration.js';
import type { ConfigurationVersion } from '../model/RoutingTable.js';
import type { StorePosition } from '../model/StorePosition.js';
import type { ServiceName } from '../model/ServiceName.js';
import type { ServerOutcomes } from '../routing/createOutcomeTracker.js';
import type { VersionReport } from '../streams/createVersionHistory.js';

/** Load that one entry host causes at one server. */
export interface HostLoad {
  readonly running: number;
  /**
   * Uncached prompt tokens of requests without a first event, by rank. An engine prefills prompts of
   * more urgent ranks first.
   */
  readonly pendingTokens: ReadonlyMap<number, number>;
}

/** Capacity that an entry host expects of the servers of its region for a service. */
export interface RegionCapacity {
  /** Estimated wait of a new request for the work before it. */
  readonly queueMs: number;
  /** Prefill time per prompt token. */
  readonly msPerToken: number;
  /** Time between two events of a stream. */
  readonly msPerEvent: number;
  /** Servers without a limited rate; 0 if all are limited, which are left to callers of the region. */
  readonly usableServers: number;
  /** Running requests per slot, over all usable servers. */
  readonly slotUsageRatio: number;
  /** Number of running requests at the best server. */
  readonly running: number;
}

/** Echo of the recipient's latest heartbeat, from which it measures the round-trip time. */
export interface HeartbeatEcho {
  readonly sentAtMs: number;
  /** Time between the arrival of that heartbeat and the sending of this one. */
  readonly heldMs: number;
}

/** Heartbeat that entry hosts send to each other as a datagram. */
export interface PeerHeartbeat {
  readonly host: HostRegistration;
  /** Random id of the sender's process. */
  readonly incarnation: string;
  /** Time of sending on the sender's monotonic clock. */
  readonly sentAtMs: number;
  readonly echo: HeartbeatEcho | undefined;
  readonly state: HostState;
  /**
   * Time until a draining sender closes its connections; it rejects requests that may not end by
   * then. Undefined if the sender does not drain.
   */
  readonly closesInMs?: number | undefined;
  /** Latest position in the history of the store known to the sender. */
  readonly storePosition: StorePosition;
  /** Version of the configuration in force at the sender; 0 if it has none. */
  readonly configurationVersion: ConfigurationVersion;
  readonly loads: ReadonlyMap<ServerId, HostLoad>;
  /** Recent time between events of the sender's streams, by server, in ms. */
  readonly paces: ReadonlyMap<ServerId, number>;
  /** Recent outcomes of the sender's requests, by server; of servers that fail some. */
  readonly outcomes?: ReadonlyMap<ServerId, ServerOutcomes>;
  readonly capacity: ReadonlyMap<ServiceName, RegionCapacity>;
  readonly crashes: readonly CrashReport[];
  readonly partEvidence: PartEvidence;
  /** Suspected prompt parts of requests that the sender has at servers. */
  readonly partTrials: readonly PromptPartKey[];
  /** Request rates that servers of the sender's region named. */
  readonly serverLimits: readonly ServerLimitReport[];
  /** Servers of the sender's region that bear few rejections. */
  readonly rejectionLimits?: readonly RejectionLimitReport[];
  /** Software versions of the services that have had several ones recently. */
  readonly versions?: readonly VersionReport[];
  /**
   * Whether the sender knows all software versions that streams may have; undefined if it does not
   * tell, like hosts of earlier builds.
   */
  readonly knowsVersions?: boolean;
}

/**
 * `starting`: has no configuration yet; `draining`: is no longer listed to callers and closes each
 * connection after its next response, but still processes new requests; `closing`: rejects new
 * requests.
 */
export type HostState = 'starting' | 'ready' | 'draining' | 'closing';

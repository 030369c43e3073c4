import type { RegionId } from '@camphorbarrow/core';
import type { ServerRegistration } from './ServerRegistration.js';

/**
 * Source of the knowledge that a server is cold: its entry in the store, the end of an evacuation of its
 * zone, or the loss of its process.
 */
export type ColdSource = 'entry' | 'evacuation' | 'loss';

/** This host's view of a backend server. A restarted server process gets a new incarnation. */
export interface ServerState {
  readonly registration: ServerRegistration;
  readonly region: RegionId | undefined;
  /** Monotonic time until which the server is treated as cold; 0 if it is warm. */
  readonly coldUntilMs: number;
  /** Source of `coldUntilMs`; undefined while the server was never cold. */
  readonly coldSource?: ColdSource | undefined;
  /** Monotonic time of the latest known heartbeat. */
  readonly lastHeartbeatAtMs: number;
  /** Identifies one lifetime of the server process. */
  readonly incarnation: string;
}

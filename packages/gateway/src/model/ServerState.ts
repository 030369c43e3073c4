import type { RegionId } from '@camphorbarrow/core';
import type { ServerRegistration } from './ServerRegistration.js';

/** This host's view of a backend server. A restarted server process gets a new incarnation. */
export interface ServerState {
  readonly registration: ServerRegistration;
  readonly region: RegionId | undefined;
  /** Monotonic time until which the server is treated as cold; 0 if it is warm. */
  readonly coldUntilMs: number;
  /** Monotonic time of the latest known heartbeat. */
  readonly lastHeartbeatAtMs: number;
  /** Identifies one lifetime of the server process. */
  readonly incarnation: string;
}

import type { RegionId } from '@camphorbarrow/core';
import type { ServerRegistration } from './ServerRegistration.js';

/** A backend server as this host believes it to be; a restarted process is another state. */
export interface ServerState {
  readonly registration: ServerRegistration;
  readonly region: RegionId | undefined;
  /** Monotonic time until which the server counts as cold; 0 when it is warm. */
  readonly coldUntilMs: number;
  /** Monotonic time of the newest heartbeat seen. */
  readonly lastHeartbeatAtMs: number;
  /** Names this lifetime of the server. */
  readonly incarnation: string;
}

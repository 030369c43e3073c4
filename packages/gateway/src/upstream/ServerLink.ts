import type { ServerState } from '../model/ServerState.js';
import type { ConnectOutcome } from './tryConnect.js';

/** What this host knows of its connections to one incarnation of a server. */
export interface ServerLink {
  readonly server: ServerState;
  /** Monotonic time of the first failure since the last success; undefined while the link is open. */
  failedAtMs: number | undefined;
  /** Whether another server was reached after the failure, which is thus due to this server. */
  failedAlone: boolean;
  /** Cause of the latest failure. */
  failureCause: Exclude<ConnectOutcome, 'open'> | undefined;
  /** Monotonic time at which a probe last succeeded. */
  connectedAtMs: number;
  /** Monotonic time at which a response last arrived. */
  respondedAtMs: number;
  backoffMs: number;
  nextProbeAtMs: number;
  /** The probe that is running. */
  probe: Promise<ConnectOutcome> | undefined;
  /** The search for the reason of the latest failure. */
  verdict: Promise<LinkVerdict> | undefined;
}

/**
 * What a failure says. `failed` and `refused`: something of this server, on which no process listens
 * in the latter case; `cut-off`: nothing of the server, as this host reaches no other one either.
 */
export type LinkVerdict = 'open' | 'failed' | 'refused' | 'cut-off';

export const hasFailed = ({ failedAtMs }: ServerLink): boolean => failedAtMs !== undefined;

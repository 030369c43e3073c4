import type { HostListEntry } from '../ports/HostList.js';
import type { LoadReport } from '../ports/LoadReport.js';

/** State of a backend server as known to this entry host. */
export interface ServerView {
  readonly entry: HostListEntry;
  /** Latest load report; undefined before the first one. */
  readonly load: LoadReport | undefined;
  /**
   * Monotonic time at which the latest load report arrived; before the first one, the time at which
   * the server was added.
   */
  readonly loadAtMs: number;
  /** Requests of this entry host that are in flight at the server. */
  readonly ownInFlightRequests: number;
  /** Prompt and output tokens of those requests. */
  readonly ownInFlightTokens: number;
  /** Tokens of the requests that this entry host has sent since the latest load report. */
  readonly ownTokensSinceReport: number;
  /**
   * Whether the server takes new requests: live in the host list and its own report, and reachable.
   */
  readonly accepting: boolean;
}

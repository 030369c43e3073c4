import type { HostListEntry } from '../ports/HostList.js';
import type { LoadReport } from '../ports/LoadReport.js';

/** What this entry host knows of one backend server. */
export interface ServerView {
  readonly entry: HostListEntry;
  /** Last load report; undefined before the first one. */
  readonly load: LoadReport | undefined;
  /** Monotonic time at which the last load report arrived. */
  readonly loadAtMs: number;
  /** Requests of this entry host that the server is running. */
  readonly ownInFlightRequests: number;
  /** Prompt and output tokens of those requests. */
  readonly ownInFlightTokens: number;
  /** Tokens this entry host has sent since the last load report. */
  readonly ownTokensSinceReport: number;
  /** Whether new work may be sent: live in the host list and by its own report, and reachable. */
  readonly accepting: boolean;
}

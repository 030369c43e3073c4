import type { HostId, ServerId } from '@camphorbarrow/core';
import type { WaitingRequest } from '../overload/createAdmissionQueue.js';
import type { LocalChoice, OverloadRejection, RegionChoice } from '../routing/Destination.js';
import type { SoftwareVersion } from '../model/SoftwareVersion.js';
import type { VersionFinding } from '../streams/createStreamSearch.js';
import type { VersionClaim } from '../streams/VersionClaim.js';
import type { BufferedResponse } from './AttemptResult.js';
import type { StopCause } from './StopCause.js';
import type { StreamSpan } from './StreamSpan.js';

/** `relay`: named by the host that relayed the request; `response`: of the server that began it. */
export type VersionSource = VersionFinding['source'] | 'relay' | 'response';

/** Mutable state of the attempts to serve one request. */
export interface ExchangeProgress {
  /** Number of attempts, whether or not they reached a server. */
  attempts: number;
  /** Whether the request may have arrived at a server. Attempts before that cost no budget. */
  hasArrived: boolean;
  /** Whether a server may have run the request, also one whose attempt was cancelled. */
  mayHaveRun: boolean;
  /** Number of attempts after which a server may have run the request. */
  runs: number;
  /** Id of the last event that the caller has received; a resumed stream continues after it. */
  lastEventId: string | undefined;
  /** Whether the events up to the last one may be the whole stream: only its end was in doubt. */
  hasUnconfirmedEnd: boolean;
  /** Version at which the stream was begun, once that is known. */
  requiredVersion: SoftwareVersion | undefined;
  /** Evidence for the version of the first events; undefined if it is certain. */
  versionClaim: VersionClaim | undefined;
  /** How the version is known; `unknown` ends a stream that is interrupted. */
  versionSource: VersionSource | undefined;
  /** Latest error response of a server; sent to the caller when no other attempt succeeds. */
  errorResponse: BufferedResponse | undefined;
  /** Number of attempts at servers of this region that refused the connection. */
  refusedConnects: number;
  /** Number of attempts at servers of this region without a connection in time. */
  timedOutConnects: number;
  /** Number of hosts of this region that rejected the request for reasons of their own. */
  neighbourRejections: number;
  readonly triedServers: Set<ServerId>;
  readonly triedRegions: Set<string>;
  readonly rejectingHosts: Set<HostId>;
  /** Reasons of the failed attempts, for the log and the error message. */
  readonly causes: string[];
  /** Why the last attempt failed, as a label of metrics; undefined if it did not. */
  lastFailure: 'rejected' | 'error' | 'silent' | 'broken' | undefined;
  /** Whether this host ended an attempt because its server was silent. */
  hasGivenUpServer: boolean;
  stopCause: StopCause;
  /** Latest rejection by the router for overload; undefined if there was none. */
  overload: OverloadRejection | undefined;
  /** Time at which the request was recorded as sent, for the decisions under overload. */
  recordedSentAtMs: number | undefined;
  /** Whether another host rejected the request because the servers of its region have no room. */
  hasOverloadedPeer: boolean;
  /** Set once the request has waited for room at this host. */
  waiting: WaitingRequest | undefined;
  /** Delay after which the caller may retry a rejected request. */
  retryAfterMs: number;
  /** Latest choice of the router, even when it was rejected as overloaded. */
  lastChoice: LocalChoice | RegionChoice | undefined;
  /** Who wrote the events of a stream, for the log. */
  readonly spans: StreamSpan[];
  /** Number of forwarded events. */
  eventCount: number;
  /** Monotonic time at which the latest event was forwarded; 0 before the first one. */
  lastEventAtMs: number;
  /** Longest time between two forwarded events; 0 before the second one. */
  longestGapMs: number;
  /** Waiting requests that the server last reported before the attempt. */
  reportedWaiting: number | undefined;
  /** Time from the arrival of the request to the first event or the response head. */
  firstEventMs: number | undefined;
  /** Time from the arrival of the request to the start of its latest attempt. */
  lastAttemptMs: number | undefined;
  /** Time from the arrival of the request until its caller's disconnect was noticed. */
  callerLeftMs: number | undefined;
}

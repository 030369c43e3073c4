import type { CallRecord } from './CallRecord.js';

/**
 * Result of a request on a connection that its caller keeps. `startedAtMs` is the time at which the
 * last byte was sent, or the connection ended before.
 */
export interface ConnectionCall extends CallRecord {
  /** Time since the last response or, on a new connection, since the caller began to open it. */
  readonly idleMs: number;
  /** Whether the connection had carried a request before. */
  readonly reused: boolean;
  /** Time between the first and the last byte of the head, 0 if it was sent at once. */
  readonly headMs: number;
  /** Time between the head and the end of the body, 0 if they were sent at once. */
  readonly bodyMs: number;
}

import type { ServerLoad } from './ServerLoad.js';

/** Metadata from the headers of a backend server's response. */
export interface ResponseMetadata {
  readonly attemptId: string | undefined;
  /** Id of the server; undefined if the response does not name it. */
  readonly serverId: string | undefined;
  /** Whether the response carries the seal that proves that a backend server sent it. */
  readonly sealed: boolean;
  /** Whether the server states that it did not execute the request. */
  readonly notRun: boolean;
  /** Whether the body has a content encoding, which is not expected of a backend server. */
  readonly encoded: boolean;
  readonly load: ServerLoad | undefined;
  /** Rate that the server accepts from all entry hosts together; undefined if it names none. */
  readonly requestsPerSecond: number | undefined;
  /**
   * Rejections in a second, of requests of all entry hosts, above which the server fails; undefined if
   * it names none.
   */
  readonly maxRejectionsPerSecond: number | undefined;
  /** Whether the server says that it is leaving. */
  readonly leaving: boolean;
  /** Time for which the sender wants no further request; undefined if it names none. */
  readonly retryAfterMs: number | undefined;
}

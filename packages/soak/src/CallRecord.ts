/** What a caller saw of one request. */
export interface CallRecord {
  readonly attemptId: string;
  readonly kind: CallKind;
  readonly host: number;
  readonly startedAtMs: number;
  readonly endedAtMs: number;
  /** Undefined when the connection ended without an answer. */
  readonly status: number | undefined;
  /** Whether the answer came to its proper end. */
  readonly complete: boolean;
  /** Attempt that the answer says it belongs to. */
  readonly responseAttemptId: string | undefined;
  /** Ids of the events that arrived, in their order. */
  readonly eventIds: readonly number[];
}

/**
 * Kinds of routes; `unsafe` and `stream` requests may run at one server, others at two; `bound` ones
 * only in their home region.
 */
export type CallKind = 'safe' | 'bound' | 'unsafe' | 'stream' | 'resumable';

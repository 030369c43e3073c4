/** Signals that end the attempts to serve a request. */
export interface AttemptSignals {
  /** Cancels the attempt, also while a server runs the request. */
  readonly signal: AbortSignal;
  /** Aborts when the caller has left or the deadline has passed; nothing is sent afterwards. */
  readonly startSignal: AbortSignal;
}

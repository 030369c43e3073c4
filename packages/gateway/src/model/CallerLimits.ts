/** Size and time limits on requests of callers. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  /** Time after which an idle connection is closed; also the time limit for a request body. */
  readonly idleTimeoutMs: number;
}

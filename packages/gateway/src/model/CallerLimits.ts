/** Size and time limits on requests of callers. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  /** Time after which an idle connection is closed; also the longest pause within a request body. */
  readonly idleTimeoutMs: number;
}

/** Expected times of one request at a server once it is dispatched. */
export interface ServiceTimeEstimate {
  readonly firstTokenMs: number;
  /** Mean absolute deviation of `firstTokenMs`. */
  readonly firstTokenDeviationMs: number;
  /** From dispatch to the end of the answer. */
  readonly totalMs: number;
}

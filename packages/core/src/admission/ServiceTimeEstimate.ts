/** Expected service times of one request, measured from its dispatch to a server. */
export interface ServiceTimeEstimate {
  readonly firstTokenMs: number;
  /** Mean absolute deviation of `firstTokenMs`. */
  readonly firstTokenDeviationMs: number;
  /** From dispatch to the end of the response. */
  readonly totalMs: number;
}

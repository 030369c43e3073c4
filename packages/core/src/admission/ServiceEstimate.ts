/** Expected times of one request at a server once it is dispatched. */
export interface ServiceEstimate {
  readonly firstTokenMs: number;
  /** From dispatch to the end of the answer. */
  readonly totalMs: number;
}

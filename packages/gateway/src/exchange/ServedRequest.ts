/** Result of serving a request, as far as it matters to the limits on its customer. */
export interface ServedRequest {
  /** Whether a server may have run the request. */
  readonly mayHaveRun: boolean;
}

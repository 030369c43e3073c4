/** A request that a server received and did not reject. */
export interface Arrival {
  readonly attemptId: string;
  readonly target: string;
  readonly atMs: number;
  readonly zone: string;
}

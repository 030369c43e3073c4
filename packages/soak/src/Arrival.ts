/** A request that a server received. */
export interface Arrival {
  readonly attemptId: string;
  readonly target: string;
  readonly atMs: number;
  readonly zone: string;
}

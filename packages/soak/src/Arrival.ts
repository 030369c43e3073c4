/** A request that a server received and did not reject. */
export interface Arrival {
  readonly attemptId: string;
  /** Index of the host that sent it; undefined if it is not known. */
  readonly sender?: number | undefined;
  readonly target: string;
  readonly atMs: number;
  readonly zone: string;
  /** Customer that the request was sent for; undefined if it names none. */
  readonly customer?: string | undefined;
  /** Whether the request shows the server a key. */
  readonly showsKey?: boolean;
  /** Id of one start of the server. */
  readonly server: string;
}

/** A request that a server rejected with 503, asking for a pause. */
export interface PausingRejection extends Omit<Arrival, 'target' | 'customer' | 'showsKey'> {
  readonly retryAfterMs: number;
}

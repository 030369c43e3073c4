/** An idle timeout for connections of callers, as the operator wrote it. */
export interface IdleTimeoutChange {
  readonly atMs: number;
  readonly idleTimeoutMs: number;
}

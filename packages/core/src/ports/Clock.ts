/** Source of time. Wall-clock time is for records, monotonic time for durations and deadlines. */
export interface Clock {
  /** Wall-clock time in milliseconds since the Unix epoch. */
  nowMs(): number;
  /** Monotonic time in milliseconds from an arbitrary origin. */
  monotonicMs(): number;
  /**
   * Resolves after `durationMs`, once input that had arrived by then was read, or rejects when the
   * signal aborts first.
   */
  sleep(durationMs: number, signal?: AbortSignal): Promise<void>;
}

/** Percentiles of a latency in milliseconds; undefined without a sample. */
export interface LatencySummary {
  readonly p50Ms: number | undefined;
  readonly p95Ms: number | undefined;
  readonly p99Ms: number | undefined;
}

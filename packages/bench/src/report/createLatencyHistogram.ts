import { build } from 'hdr-histogram-js';
import type { LatencySummary } from './LatencySummary.js';

const MICROSECONDS_PER_MS = 1000;

export interface LatencyHistogram {
  recordMs(durationMs: number): void;
  summary(): LatencySummary;
}

/** Histogram of durations in microseconds with three significant digits. */
export function createLatencyHistogram(): LatencyHistogram {
  const histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 3_600_000_000,
    numberOfSignificantValueDigits: 3,
    bitBucketSize: 64,
    useWebAssembly: false,
  });
  const percentileMs = (percentile: number): number | undefined =>
    histogram.totalCount === 0
      ? undefined
      : histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
  return {
    recordMs(durationMs) {
      histogram.recordValue(Math.max(1, Math.round(durationMs * MICROSECONDS_PER_MS)));
    },
    summary: () => ({ p50Ms: percentileMs(50), p95Ms: percentileMs(95), p99Ms: percentileMs(99) }),
  };
}

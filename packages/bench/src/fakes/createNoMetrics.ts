import type { MetricsSink } from '@camphorbarrow/core';

/** Metrics sink that discards everything; experiments record their own results. */
export function createNoMetrics(): MetricsSink {
  return {
    increment: () => undefined,
    gauge: () => undefined,
    timingMs: () => undefined,
    close: async () => undefined,
  };
}

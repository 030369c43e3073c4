import type { MetricsSink } from '@camphorbarrow/core';

/** Metrics that are discarded; the experiment records its own. */
export function createNoMetrics(): MetricsSink {
  return {
    increment: () => undefined,
    gauge: () => undefined,
    timingMs: () => undefined,
    close: async () => undefined,
  };
}

import type { MetricsSink } from '@camphorbarrow/core';

/** Metrics output that is turned off in the settings. */
export function createNoMetrics(): MetricsSink {
  return {
    increment: () => undefined,
    gauge: () => undefined,
    timingMs: () => undefined,
    close: () => Promise.resolve(),
  };
}

import type { MetricsSink } from '@camphorbarrow/core';

/** Creates the metrics output of a host whose settings turn metrics off. */
export function createNoMetrics(): MetricsSink {
  return {
    increment: () => undefined,
    gauge: () => undefined,
    timingMs: () => undefined,
    close: () => Promise.resolve(),
  };
}

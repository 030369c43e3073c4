import type { MetricsSink } from '../ports/MetricsSink.js';
import type { BurnCounters } from './createBurnCounters.js';

/** Sends every counted result as the metric `requests` too. */
export function meterResults(counters: BurnCounters, metrics: MetricsSink): BurnCounters {
  return {
    ...counters,
    record(serviceClass, result) {
      counters.record(serviceClass, result);
      metrics.increment('requests', { class: serviceClass, result });
    },
  };
}

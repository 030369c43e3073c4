import type { MetricsSink } from '../ports/MetricsSink.js';
import type { BurnCounters } from './createBurnCounters.js';

/** Wraps burn counters so that every result is also counted in the metric `requests`. */
export function meterResults(counters: BurnCounters, metrics: MetricsSink): BurnCounters {
  return {
    ...counters,
    record(serviceClass, result) {
      counters.record(serviceClass, result);
      metrics.increment('requests', { class: serviceClass, result });
    },
  };
}

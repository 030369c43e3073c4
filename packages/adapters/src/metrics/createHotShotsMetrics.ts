import { StatsD } from 'hot-shots';
import type { MetricsSink } from '@camphorbarrow/core';

export interface HotShotsMetricsOptions {
  readonly address: string;
  readonly port: number;
  /** Prefix of every metric name. */
  readonly prefix: string;
  readonly tags: Readonly<Record<string, string>>;
  readonly onError: (error: Error) => void;
}

/** Creates a metrics output over StatsD with DogStatsD tags. */
export function createHotShotsMetrics(options: HotShotsMetricsOptions): MetricsSink {
  const client = new StatsD({
    host: options.address,
    port: options.port,
    prefix: options.prefix,
    globalTags: options.tags,
    maxBufferSize: 1400,
    bufferFlushInterval: 1000,
    errorHandler: options.onError,
  });
  return {
    increment: (name, tags, count) => client.increment(name, count ?? 1, { ...tags }),
    gauge: (name, value, tags) => client.gauge(name, value, { ...tags }),
    timingMs: (name, durationMs, tags) => client.timing(name, durationMs, { ...tags }),
    close: () =>
      new Promise((resolve) => {
        client.close(() => resolve());
      }),
  };
}

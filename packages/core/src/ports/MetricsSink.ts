export type MetricTags = Readonly<Record<string, string>>;

/** Metrics output; names and units are listed in docs/metrics.md. */
export interface MetricsSink {
  increment(name: string, tags?: MetricTags, count?: number): void;
  gauge(name: string, value: number, tags?: MetricTags): void;
  timingMs(name: string, durationMs: number, tags?: MetricTags): void;
  close(): Promise<void>;
}

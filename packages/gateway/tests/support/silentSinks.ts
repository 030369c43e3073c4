import type { LogSink, MetricsSink } from '@camphorbarrow/core';

export const silentLog: LogSink = { info() {}, warn() {}, error() {} };
export const discardingMetrics: MetricsSink = {
  increment() {},
  gauge() {},
  timingMs() {},
  close: async () => undefined,
};

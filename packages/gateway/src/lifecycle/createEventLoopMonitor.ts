import type { Clock, LogSink, MetricsSink } from '@camphorbarrow/core';

const SAMPLE_INTERVAL_MS = 100;
/** Delay from which each sample is logged; callers that close are noticed this much later. */
const LOGGED_DELAY_MS = 250;

export interface EventLoopMonitor {
  close(): void;
}

/**
 * Measures how late the timers of this process run. Requests, responses and closed connections are
 * processed as late as the timers.
 */
export function createEventLoopMonitor(
  clock: Clock,
  log: LogSink,
  metrics: MetricsSink,
): EventLoopMonitor {
  let expectedAtMs = clock.monotonicMs() + SAMPLE_INTERVAL_MS;
  const timer = setInterval(() => {
    const nowMs = clock.monotonicMs();
    const delayMs = Math.max(0, nowMs - expectedAtMs);
    expectedAtMs = nowMs + SAMPLE_INTERVAL_MS;
    metrics.timingMs('event_loop_delay', delayMs);
    if (delayMs >= LOGGED_DELAY_MS) {
      log.warn('event-loop-delayed', { delayMs: Math.round(delayMs) });
    }
  }, SAMPLE_INTERVAL_MS);
  return { close: () => clearInterval(timer) };
}

import type { Clock, LogSink, MetricsSink } from '@camphorbarrow/core';

const SAMPLE_INTERVAL_MS = 100;
/** Delay from which each sample is logged; callers that close are noticed this much later. */
const LOGGED_DELAY_MS = 250;

export interface EventLoopMonitor {
  /**
   * Earliest time since which input or a signal that is processed now may have waited: the start of
   * a delay that has just ended, or now.
   */
  pendingSinceMs(): number;
  close(): void;
}

/**
 * Measures how late the timers of this process run. Requests, responses and closed connections are
 * processed as late as the timers.
 *
 * @param onSample called with each delay, in ms
 */
export function createEventLoopMonitor(
  clock: Clock,
  log: LogSink,
  metrics: MetricsSink,
  onSample: (delayMs: number) => void = () => undefined,
): EventLoopMonitor {
  let sampledAtMs = clock.monotonicMs();
  let previousSampleAtMs = sampledAtMs;
  const timer = setInterval(() => {
    const nowMs = clock.monotonicMs();
    const delayMs = Math.max(0, nowMs - sampledAtMs - SAMPLE_INTERVAL_MS);
    previousSampleAtMs = sampledAtMs;
    sampledAtMs = nowMs;
    metrics.timingMs('event_loop_delay', delayMs);
    onSample(delayMs);
    if (delayMs >= LOGGED_DELAY_MS) {
      log.warn('event-loop-delayed', { delayMs: Math.round(delayMs) });
    }
  }, SAMPLE_INTERVAL_MS);
  return {
    pendingSinceMs() {
      const nowMs = clock.monotonicMs();
      // After a pause, the timer may run before or after what has waited.
      const sinceMs =
        nowMs - sampledAtMs < SAMPLE_INTERVAL_MS / 2 ? previousSampleAtMs : sampledAtMs;
      return nowMs - sinceMs >= SAMPLE_INTERVAL_MS + LOGGED_DELAY_MS ? sinceMs : nowMs;
    },
    close: () => clearInterval(timer),
  };
}

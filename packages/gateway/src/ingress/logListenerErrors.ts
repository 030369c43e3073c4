import type { Server } from 'node:http';
import type { Clock, LogSink, MetricsSink } from '@camphorbarrow/core';

/** Interval between two log lines on errors of a listener. */
const LOG_INTERVAL_MS = 1_000;

export interface ListenerErrorOptions {
  /** Name of the listener. */
  readonly name: string;
  readonly clock: Clock;
  readonly log: LogSink;
  readonly metrics: MetricsSink;
}

/**
 * Logs errors of a server that listens, about once a second at most. They are about one connection
 * that could not be accepted, for example for lack of descriptors or memory, or because its network
 * failed: the server goes on. Without a listener they would end the process.
 */
export function logListenerErrors(
  server: Server,
  { name, clock, log, metrics }: ListenerErrorOptions,
): void {
  let loggedAtMs = -Infinity;
  let count = 0;
  server.on('error', (error: NodeJS.ErrnoException) => {
    metrics.increment('listener_errors', { listener: name, code: error.code ?? 'unknown' });
    count += 1;
    const nowMs = clock.monotonicMs();
    if (nowMs - loggedAtMs >= LOG_INTERVAL_MS) {
      log.error('listener-error', { listener: name, count }, error);
      loggedAtMs = nowMs;
      count = 0;
    }
  });
}

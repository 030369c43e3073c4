import type { ConnectionClose, LogSink, MetricsSink } from '@camphorbarrow/core';

/** Delay of a timer from which the close that it causes is logged. */
const LOGGED_DELAY_MS = 100;

export interface ConnectionReportOptions {
  /** Name of the listener. */
  readonly name: string;
  readonly log: LogSink;
  readonly metrics: MetricsSink;
}

/** Counts a connection that the host closed, and logs a close by a late timer. */
export function reportConnectionClose(
  { name, log, metrics }: ConnectionReportOptions,
  close: ConnectionClose,
): void {
  if (close.cause === 'idle' && close.delayMs >= LOGGED_DELAY_MS) {
    metrics.increment('connections_closed', { listener: name, cause: 'idle-delayed' });
    log.info('idle-connection-closed', {
      listener: name,
      idleMs: Math.round(close.idleMs),
      delayMs: Math.round(close.delayMs),
    });
    return;
  }
  metrics.increment('connections_closed', { listener: name, cause: close.cause });
}

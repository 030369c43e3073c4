import type { Clock, ConnectionClose, LogSink, MetricsSink } from '@camphorbarrow/core';

/** Delay of a timer from which the close that it causes is logged. */
const LOGGED_DELAY_MS = 100;
/** Interval between two log lines on closes with the same cause. */
const LOG_INTERVAL_MS = 1_000;

/**
 * Why a listener closed a connection. `requests-ahead`: too many requests without a response;
 * `memory`: it held the most while the memory of requests was full; `idle-at-limit`: the oldest idle
 * one, to make room for another connection.
 */
export type ListenerClose =
  ConnectionClose | { readonly cause: 'requests-ahead' | 'memory' | 'idle-at-limit' };

/** Causes that are due to the client alone; each is logged with the number of connections. */
const loggedCauses: ReadonlySet<ListenerClose['cause']> = new Set([
  'requests-ahead',
  'memory',
  'idle-at-limit',
  'unread-response',
]);

export interface ConnectionReportOptions {
  /** Name of the listener. */
  readonly name: string;
  readonly clock: Clock;
  readonly log: LogSink;
  readonly metrics: MetricsSink;
}

/**
 * Creates the report on connections that a listener closed. All are counted; closes by a late timer
 * are logged, and those that a client brought about once a second at most.
 */
export function createConnectionReport({
  name,
  clock,
  log,
  metrics,
}: ConnectionReportOptions): (close: ListenerClose) => void {
  const lastLogs = new Map<string, { atMs: number; closedCount: number }>();

  function logBounded(cause: string): void {
    const nowMs = clock.monotonicMs();
    const last = lastLogs.get(cause) ?? { atMs: -Infinity, closedCount: 0 };
    last.closedCount += 1;
    lastLogs.set(cause, last);
    if (nowMs - last.atMs >= LOG_INTERVAL_MS) {
      log.warn('client-connections-closed', { listener: name, cause, count: last.closedCount });
      lastLogs.set(cause, { atMs: nowMs, closedCount: 0 });
    }
  }

  return (close) => {
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
    if (loggedCauses.has(close.cause)) {
      logBounded(close.cause);
    }
  };
}

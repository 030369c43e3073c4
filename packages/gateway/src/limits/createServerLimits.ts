import type { Clock, LogSink, MetricsSink } from '@camphorbarrow/core';
import { lifetimeId } from '../model/lifetimeId.js';
import type { ServerState } from '../model/ServerState.js';

export interface ServerLimitsOptions {
  readonly clock: Clock;
  readonly log: LogSink;
  readonly metrics: MetricsSink;
}

/** Request rates that servers name in their responses, for all entry hosts together. */
export interface ServerLimits {
  /** Records the limit in a response of the server; undefined if the response names none. */
  recordResponse(server: ServerState, requestsPerSecond: number | undefined): void;
  /** Limit that the server named last; undefined if there is none. */
  limitOf(server: ServerState): number | undefined;
  /** Drops the limits of all other servers. */
  retain(servers: readonly ServerState[]): void;
}

interface NamedLimit {
  readonly requestsPerSecond: number | undefined;
  readonly atMs: number;
}

/** Creates the record without any limits. */
export function createServerLimits(options: ServerLimitsOptions): ServerLimits {
  const { clock, log, metrics } = options;
  const limits = new Map<string, NamedLimit>();

  function set(lifetime: string, limit: NamedLimit): void {
    const previous = limits.get(lifetime)?.requestsPerSecond;
    const { requestsPerSecond } = limit;
    if (requestsPerSecond !== previous) {
      log.info('server-limit-changed', { server: lifetime, requestsPerSecond, previous });
    }
    limits.set(lifetime, limit);
    const limited = [...limits.values()].filter((each) => each.requestsPerSecond !== undefined);
    metrics.gauge('limited_servers', limited.length);
  }

  return {
    recordResponse({ registration }, requestsPerSecond) {
      const lifetime = lifetimeId(registration);
      if (requestsPerSecond !== undefined || limits.has(lifetime)) {
        set(lifetime, { requestsPerSecond, atMs: clock.monotonicMs() });
      }
    },
    limitOf: ({ registration }) => limits.get(lifetimeId(registration))?.requestsPerSecond,
    retain(servers) {
      const lifetimes = new Set(servers.map(({ registration }) => lifetimeId(registration)));
      [...limits.keys()]
        .filter((lifetime) => !lifetimes.has(lifetime))
        .forEach((lifetime) => limits.delete(lifetime));
    },
  };
}

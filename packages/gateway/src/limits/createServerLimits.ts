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
  /** Latest limits and ends of limits, to send to the other hosts of the region. */
  reports(): readonly ServerLimitReport[];
  /** Adds the reports of a peer that are newer than what is known. */
  mergeReports(reports: readonly ServerLimitReport[]): void;
  /** Limit that the server named last; undefined if there is none. */
  limitOf(server: ServerState): number | undefined;
  /** Whether no host has heard from a limited server for a while, so that its limit may have ended. */
  isOutdated(server: ServerState): boolean;
  /** Drops the limits of all other servers. */
  retain(servers: readonly ServerState[]): void;
}

/** What a server said about its limit, as one entry host tells the others. */
export interface ServerLimitReport {
  /** Id of the lifetime of the server's process. */
  readonly server: string;
  /** Undefined if the server no longer names a limit. */
  readonly requestsPerSecond: number | undefined;
  /** Time since the server's response. */
  readonly ageMs: number;
}

/** Time after a limited server's latest response from which its limit is checked again. */
const RECHECK_AFTER_MS = 3_000;
/** Time for which the end of a limit is reported, and the maximum number of reports. */
const END_REPORT_MAX_AGE_MS = 3_000;
const MAX_REPORTS = 64;
/** Ages of reports do not include their transit, so a slightly newer report may be the older one. */
const TRANSIT_TOLERANCE_MS = 100;

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

  // Called for every server of each choice; servers rarely name limits.
  const limitOfServer = ({ registration }: ServerState): NamedLimit | undefined =>
    limits.size === 0 ? undefined : limits.get(lifetimeId(registration));

  return {
    recordResponse({ registration }, requestsPerSecond) {
      const lifetime = lifetimeId(registration);
      if (requestsPerSecond !== undefined || limits.has(lifetime)) {
        set(lifetime, { requestsPerSecond, atMs: clock.monotonicMs() });
      }
    },
    reports() {
      const nowMs = clock.monotonicMs();
      return [...limits]
        .map(([server, { requestsPerSecond, atMs }]) => ({
          server,
          requestsPerSecond,
          ageMs: Math.round(nowMs - atMs),
        }))
        .filter(
          ({ requestsPerSecond, ageMs }) =>
            requestsPerSecond !== undefined || ageMs <= END_REPORT_MAX_AGE_MS,
        )
        .sort((a, b) => a.ageMs - b.ageMs)
        .slice(0, MAX_REPORTS);
    },
    mergeReports(reports) {
      reports.forEach(({ server, requestsPerSecond, ageMs }) => {
        const atMs = clock.monotonicMs() - ageMs;
        if (atMs > (limits.get(server)?.atMs ?? -Infinity) + TRANSIT_TOLERANCE_MS) {
          set(server, { requestsPerSecond, atMs });
        }
      });
    },
    limitOf: (server) => limitOfServer(server)?.requestsPerSecond,
    isOutdated(server) {
      const limit = limitOfServer(server);
      return (
        limit?.requestsPerSecond !== undefined &&
        clock.monotonicMs() - limit.atMs > RECHECK_AFTER_MS
      );
    },
    retain(servers) {
      const lifetimes = new Set(servers.map(({ registration }) => lifetimeId(registration)));
      [...limits.keys()]
        .filter((lifetime) => !lifetimes.has(lifetime))
        .forEach((lifetime) => limits.delete(lifetime));
    },
  };
}

import type { Clock, LogSink, MetricsSink } from '@camphorbarrow/core';
import { lifetimeId } from '../model/lifetimeId.js';
import type { ServerState } from '../model/ServerState.js';
import type { ServiceName } from '../model/ServiceName.js';

export interface RejectionLimitsOptions {
  readonly clock: Clock;
  readonly log: LogSink;
  readonly metrics: MetricsSink;
}

/** What a server said of the rejections that it bears, as one entry host tells the others. */
export interface RejectionLimitReport {
  /** Id of the lifetime of the server's process. */
  readonly server: string;
  readonly service: ServiceName;
  /** Undefined if the server no longer names a limit. */
  readonly maxRejectionsPerSecond: number | undefined;
  /** Time since the server's response. */
  readonly ageMs: number;
}

/**
 * Servers that fail if they have to reject too many requests of all entry hosts together in a second,
 * by what they say of themselves in their responses.
 */
export interface RejectionLimits {
  /** Records the limit in a response of the server; undefined if the response names none. */
  recordResponse(server: ServerState, maxRejectionsPerSecond: number | undefined): void;
  /** Latest limits and ends of limits, to send to the other hosts of the region. */
  reports(): readonly RejectionLimitReport[];
  /** Adds the reports of a peer that are newer than what is known. */
  mergeReports(reports: readonly RejectionLimitReport[]): void;
  /**
   * Rejections in a second that the server bears; undefined if it bears any number. The servers of a
   * service become fragile together, so one that has said nothing has the lowest limit of the others.
   */
  limitOf(server: ServerState): number | undefined;
  /** Drops what is outdated, and servers that are gone. */
  retain(servers: readonly ServerState[]): void;
}

/** Time for which a limit holds without a further response of the server. */
const MAX_AGE_MS = 60_000;
/** Time for which a server that is gone stands for the others of its service. */
const GONE_RETENTION_MS = 15_000;
/** Time for which the end of a limit is reported, and the maximum number of reports. */
const END_REPORT_MAX_AGE_MS = 3_000;
const MAX_REPORTS = 64;
/** Ages of reports do not include their transit, so a slightly newer report may be the older one. */
const TRANSIT_TOLERANCE_MS = 100;

interface Statement {
  readonly service: ServiceName;
  readonly maxRejectionsPerSecond: number | undefined;
  readonly atMs: number;
}

/** Creates the record without any limits. */
export function createRejectionLimits(options: RejectionLimitsOptions): RejectionLimits {
  const { clock, log, metrics } = options;
  const statements = new Map<string, Statement>();

  const isCurrent = ({ atMs }: Statement): boolean => clock.monotonicMs() - atMs <= MAX_AGE_MS;
  const isLimited = (each: Statement): boolean =>
    each.maxRejectionsPerSecond !== undefined && isCurrent(each);

  function lowestLimit(service: ServiceName): number | undefined {
    const limits = [...statements.values()]
      .filter((each) => each.service === service && isLimited(each))
      .map(({ maxRejectionsPerSecond = Infinity }) => maxRejectionsPerSecond);
    return limits.length === 0 ? undefined : Math.min(...limits);
  }

  function reportCount(): void {
    const limited = [...statements.values()].filter(isLimited);
    metrics.gauge('rejection_limited_servers', limited.length);
  }

  function set(server: string, statement: Statement, source: 'response' | 'peer'): void {
    const previous = statements.get(server)?.maxRejectionsPerSecond;
    const { service, maxRejectionsPerSecond } = statement;
    if (maxRejectionsPerSecond !== previous) {
      log.info('server-rejection-limit-changed', {
        server,
        service,
        maxRejectionsPerSecond,
        previous,
        source,
      });
    }
    statements.set(server, statement);
    reportCount();
  }

  // Called for every server of each choice; servers rarely name limits.
  function limitOf({ registration }: ServerState): number | undefined {
    if (statements.size === 0) {
      return undefined;
    }
    const own = statements.get(lifetimeId(registration));
    return own !== undefined && isCurrent(own)
      ? own.maxRejectionsPerSecond
      : lowestLimit(registration.service);
  }

  return {
    recordResponse(server, maxRejectionsPerSecond) {
      const { service } = server.registration;
      const lifetime = lifetimeId(server.registration);
      const isKnown = statements.has(lifetime) || limitOf(server) !== undefined;
      if (maxRejectionsPerSecond !== undefined || isKnown) {
        const atMs = clock.monotonicMs();
        set(lifetime, { service, maxRejectionsPerSecond, atMs }, 'response');
      }
    },
    reports() {
      const nowMs = clock.monotonicMs();
      return [...statements]
        .map(([server, { service, maxRejectionsPerSecond, atMs }]) => ({
          server,
          service,
          maxRejectionsPerSecond,
          ageMs: Math.round(nowMs - atMs),
        }))
        .filter(
          ({ maxRejectionsPerSecond, ageMs }) =>
            ageMs <= (maxRejectionsPerSecond === undefined ? END_REPORT_MAX_AGE_MS : MAX_AGE_MS),
        )
        .sort((a, b) => a.ageMs - b.ageMs)
        .slice(0, MAX_REPORTS);
    },
    mergeReports(reports) {
      reports.forEach(({ server, service, maxRejectionsPerSecond, ageMs }) => {
        const atMs = clock.monotonicMs() - ageMs;
        if (atMs > (statements.get(server)?.atMs ?? -Infinity) + TRANSIT_TOLERANCE_MS) {
          set(server, { service, maxRejectionsPerSecond, atMs }, 'peer');
        }
      });
    },
    limitOf,
    retain(servers) {
      if (statements.size === 0) {
        return;
      }
      const nowMs = clock.monotonicMs();
      const lifetimes = new Set(servers.map(({ registration }) => lifetimeId(registration)));
      const retentionMs = (lifetime: string): number =>
        lifetimes.has(lifetime) ? MAX_AGE_MS : GONE_RETENTION_MS;
      [...statements]
        .filter(([lifetime, { atMs }]) => nowMs - atMs > retentionMs(lifetime))
        .forEach(([lifetime]) => statements.delete(lifetime));
      reportCount();
    },
  };
}

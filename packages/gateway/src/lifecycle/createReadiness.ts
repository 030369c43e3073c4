import type { Clock, LogSink, MetricsSink } from '@camphorbarrow/core';
import { printVersion } from '../model/printVersion.js';
import type { ConfigurationVersion } from '../model/RoutingTable.js';

/** Waits that are shorter are part of a usual start and not logged. */
const FIRST_REPORT_AFTER_MS = 1_000;
/** Least time between reports of different needs or reasons. */
const MIN_REPORT_INTERVAL_MS = 1_000;
/** Time between reports of a need that stays unmet for the same reason. */
const REPORT_INTERVAL_MS = 10_000;

/** What a host needs before it accepts callers. */
export interface ReadinessNeed {
  readonly name: 'configuration' | 'callers' | 'peers' | 'heartbeats';
  readonly isMet: () => boolean;
  /** Why the need is not met. */
  readonly reason: () => string;
}

/** Need that is not met. */
export interface UnmetNeed {
  readonly name: ReadinessNeed['name'];
  readonly reason: string;
  /** Time since the host started, or since the need was last met. */
  readonly waitedMs: number;
}

export interface ReadinessOptions {
  readonly clock: Clock;
  readonly log: LogSink;
  readonly metrics: MetricsSink;
  readonly needs: readonly ReadinessNeed[];
  readonly configurationVersion: () => ConfigurationVersion | undefined;
}

/** Whether a host has what it needs, and since when it lacks the rest. */
export interface Readiness {
  isMet(): boolean;
  /** Needs that are not met; empty for a ready host. */
  unmet(): readonly UnmetNeed[];
  /** Logs and counts unmet needs at a bounded rate; to be called about once a second. */
  report(): void;
}

/** Creates the record of what a host lacks to be ready. */
export function createReadiness(options: ReadinessOptions): Readiness {
  const { clock, log, metrics, needs } = options;
  const startedAtMs = clock.monotonicMs();
  const lastMetAtMs = new Map<ReadinessNeed['name'], number>();
  let wasReady = false;
  let unreadySinceMs = startedAtMs;
  let reportedAtMs = -Infinity;
  let reportedText: string | undefined;

  const isMet = (): boolean => needs.every((need) => need.isMet());

  function unmet(): readonly UnmetNeed[] {
    const nowMs = clock.monotonicMs();
    return needs
      .filter((need) => !need.isMet())
      .map(({ name, reason }) => ({
        name,
        reason: reason(),
        waitedMs: Math.round(nowMs - (lastMetAtMs.get(name) ?? startedAtMs)),
      }));
  }

  function reportUnready(lacking: readonly UnmetNeed[], nowMs: number): void {
    const text = lacking.map(({ name, reason }) => `${name}: ${reason}`).join('; ');
    const intervalMs = text === reportedText ? REPORT_INTERVAL_MS : MIN_REPORT_INTERVAL_MS;
    const unreadyMs = nowMs - unreadySinceMs;
    if (unreadyMs >= FIRST_REPORT_AFTER_MS && nowMs - reportedAtMs >= intervalMs) {
      reportedAtMs = nowMs;
      reportedText = text;
      log.warn('host-not-ready', { lacks: text, unreadyMs: Math.round(unreadyMs) });
    }
  }

  return {
    isMet,
    unmet,
    report() {
      const nowMs = clock.monotonicMs();
      const lacking = unmet();
      needs.forEach((need) => {
        const isLacking = lacking.some(({ name }) => name === need.name);
        metrics.gauge('readiness_lacks', isLacking ? 1 : 0, { need: need.name });
        if (!isLacking) {
          lastMetAtMs.set(need.name, nowMs);
        }
      });
      if (lacking.length > 0) {
        unreadySinceMs = wasReady ? nowMs : unreadySinceMs;
        wasReady = false;
        reportUnready(lacking, nowMs);
      } else if (!wasReady) {
        wasReady = true;
        reportedText = undefined;
        log.info('host-ready', {
          unreadyMs: Math.round(nowMs - unreadySinceMs),
          version: printVersion(options.configurationVersion()),
        });
      }
    },
  };
}

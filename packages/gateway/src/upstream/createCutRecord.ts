import type { Clock, LogSink, MetricsSink } from '@camphorbarrow/core';
import { hasFailed } from './ServerLink.js';
import type { ServerLink } from './ServerLink.js';

/** Failures up to this time before a cut was noticed belong to it. */
const CUT_NOTICE_MS = 2_000;

export interface CutRecordOptions {
  readonly clock: Clock;
  readonly log: LogSink;
  readonly metrics: MetricsSink;
  /** Puts a link into use again. */
  readonly restore: (link: ServerLink) => void;
}

/** Whether this host reaches none of its servers. */
export interface CutRecord {
  /** Monotonic time since which no server is reached; undefined while one is. */
  sinceMs(): number | undefined;
  /** Monotonic time at which the latest cut ended; -Infinity if there was none. */
  endedAtMs(): number;
  begin(listed: readonly ServerLink[]): void;
  end(listed: readonly ServerLink[]): void;
}

export function createCutRecord({ clock, log, metrics, restore }: CutRecordOptions): CutRecord {
  let sinceMs: number | undefined;
  let endedAtMs = -Infinity;
  return {
    sinceMs: () => sinceMs,
    endedAtMs: () => endedAtMs,
    begin(listed) {
      if (sinceMs === undefined) {
        sinceMs = clock.monotonicMs();
        const failed = listed.filter(hasFailed).length;
        log.warn('host-cut-off', { listed: listed.length, failed });
        metrics.increment('host_cuts');
      }
    },
    end(listed) {
      if (sinceMs === undefined) {
        return;
      }
      const oldestMs = sinceMs - CUT_NOTICE_MS;
      // What was lost with the links of this host is back with them.
      const lost = listed.filter(
        ({ failedAtMs = -Infinity, failedAlone }) => failedAtMs >= oldestMs && !failedAlone,
      );
      lost.forEach(restore);
      endedAtMs = clock.monotonicMs();
      const tookMs = endedAtMs - sinceMs;
      sinceMs = undefined;
      log.info('host-reconnected', {
        listed: listed.length,
        restored: lost.length,
        failed: listed.filter(hasFailed).length,
        tookMs: Math.round(tookMs),
      });
      metrics.timingMs('host_cut', tookMs);
    },
  };
}

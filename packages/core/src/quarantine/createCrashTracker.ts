import type { Fingerprint } from '../ids/Fingerprint.js';
import type { Clock } from '../ports/Clock.js';
import type { CrashReport } from './CrashReport.js';

export interface CrashTrackerOptions {
  readonly clock: Clock;
  /** Time for which a crash is remembered. */
  readonly holdMs: () => number;
}

export interface CrashTracker {
  /**
   * Adds a report, or merges it with the known report of the same crash. Returns the merged report.
   */
  merge(report: CrashReport): CrashReport;
  /**
   * Sum of the request's shares in all remembered crashes. A crash counts as 1, divided equally
   * between the suspects that ran on the server, or between all its requests when none was a
   * suspect.
   */
  crashScore(fingerprint: Fingerprint): number;
  /** Number of remembered crashes. While it is zero, every crash score is zero. */
  crashCount(): number;
  /** Clears the score of a request. A completed run shows that it does not crash servers. */
  clear(fingerprint: Fingerprint): void;
}

interface Crash {
  readonly report: CrashReport;
  readonly firstReportedAtMs: number;
}

const MAX_CRASHES = 1_024;
const MAX_REQUESTS_PER_CRASH = 1_024;

function union(a: readonly Fingerprint[], b: readonly Fingerprint[]): Fingerprint[] {
  return [...new Set([...a, ...b])].slice(0, MAX_REQUESTS_PER_CRASH);
}

/** Creates the tracker of crashes. Merging reports is idempotent and commutative. */
export function createCrashTracker(options: CrashTrackerOptions): CrashTracker {
  const { clock } = options;
  const crashes = new Map<string, Crash>();
  const clearedAtMs = new Map<Fingerprint, number>();

  function evictOld(): void {
    const oldestMs = clock.monotonicMs() - options.holdMs();
    const excess = crashes.size - MAX_CRASHES;
    [...crashes]
      .filter(([, crash], index) => crash.firstReportedAtMs < oldestMs || index < excess)
      .forEach(([key]) => crashes.delete(key));
    [...clearedAtMs]
      .filter(([, atMs]) => atMs < oldestMs)
      .forEach(([fingerprint]) => clearedAtMs.delete(fingerprint));
  }

  function crashShareOf(crash: Crash, fingerprint: Fingerprint): number {
    const { running, suspects } = crash.report;
    const responsible = suspects.length > 0 ? suspects : running;
    const isCleared = (clearedAtMs.get(fingerprint) ?? -Infinity) >= crash.firstReportedAtMs;
    return !isCleared && responsible.includes(fingerprint) ? 1 / responsible.length : 0;
  }

  return {
    merge(report) {
      evictOld();
      const key = `${report.serverId} ${report.incarnation}`;
      const known = crashes.get(key);
      const merged: CrashReport = {
        ...report,
        running: union(known?.report.running ?? [], report.running),
        suspects: union(known?.report.suspects ?? [], report.suspects),
      };
      crashes.set(key, {
        report: merged,
        firstReportedAtMs: known?.firstReportedAtMs ?? clock.monotonicMs(),
      });
      return merged;
    },
    crashScore(fingerprint) {
      if (crashes.size === 0) {
        return 0;
      }
      evictOld();
      return [...crashes.values()].reduce(
        (sum, crash) => sum + crashShareOf(crash, fingerprint),
        0,
      );
    },
    crashCount: () => crashes.size,
    clear(fingerprint) {
      if ([...crashes.values()].some((crash) => crash.report.running.includes(fingerprint))) {
        clearedAtMs.set(fingerprint, clock.monotonicMs());
      }
    },
  };
}

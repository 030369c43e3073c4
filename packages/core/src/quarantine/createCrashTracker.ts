import type { Fingerprint } from '../ids/Fingerprint.js';
import type { Clock } from '../ports/Clock.js';
import type { CrashReport } from './CrashReport.js';

export interface CrashTrackerOptions {
  readonly clock: Clock;
  /** Time for which a crash counts. */
  readonly holdMs: () => number;
}

export interface CrashTracker {
  /** Adds a report, or the requests it names to the known report of the same crash. */
  merge(report: CrashReport): CrashReport;
  /**
   * Sum over all crashes of this request's share of the blame. A crash is shared equally by the
   * suspects that ran on the server, or by all its requests when none was a suspect.
   */
  crashScore(fingerprint: Fingerprint): number;
  /** Crashes that are held; while there are none, nobody is to blame. */
  crashCount(): number;
  /** A completed run proves that the request does not crash servers. */
  clear(fingerprint: Fingerprint): void;
}

interface Crash {
  readonly report: CrashReport;
  readonly seenAtMs: number;
}

const MAX_CRASHES = 1_024;
const MAX_REQUESTS_PER_CRASH = 1_024;

function union(a: readonly Fingerprint[], b: readonly Fingerprint[]): Fingerprint[] {
  return [...new Set([...a, ...b])].slice(0, MAX_REQUESTS_PER_CRASH);
}

/** Creates the record of crashes from which blame is derived. Merging is idempotent and commutative. */
export function createCrashTracker(options: CrashTrackerOptions): CrashTracker {
  const { clock } = options;
  const crashes = new Map<string, Crash>();
  const clearedAtMs = new Map<Fingerprint, number>();

  function forgetOld(): void {
    const oldestMs = clock.monotonicMs() - options.holdMs();
    const excess = crashes.size - MAX_CRASHES;
    [...crashes]
      .filter(([, crash], index) => crash.seenAtMs < oldestMs || index < excess)
      .forEach(([key]) => crashes.delete(key));
    [...clearedAtMs]
      .filter(([, atMs]) => atMs < oldestMs)
      .forEach(([fingerprint]) => clearedAtMs.delete(fingerprint));
  }

  function shareOf(crash: Crash, fingerprint: Fingerprint): number {
    const { running, suspects } = crash.report;
    const blamed = suspects.length > 0 ? suspects : running;
    const cleared = (clearedAtMs.get(fingerprint) ?? -Infinity) >= crash.seenAtMs;
    return !cleared && blamed.includes(fingerprint) ? 1 / blamed.length : 0;
  }

  return {
    merge(report) {
      forgetOld();
      const key = `${report.serverId} ${report.incarnation}`;
      const known = crashes.get(key);
      const merged: CrashReport = {
        ...report,
        running: union(known?.report.running ?? [], report.running),
        suspects: union(known?.report.suspects ?? [], report.suspects),
      };
      crashes.set(key, { report: merged, seenAtMs: known?.seenAtMs ?? clock.monotonicMs() });
      return merged;
    },
    crashScore(fingerprint) {
      if (crashes.size === 0) {
        return 0;
      }
      forgetOld();
      return [...crashes.values()].reduce((sum, crash) => sum + shareOf(crash, fingerprint), 0);
    },
    crashCount: () => crashes.size,
    clear(fingerprint) {
      if ([...crashes.values()].some((crash) => crash.report.running.includes(fingerprint))) {
        clearedAtMs.set(fingerprint, clock.monotonicMs());
      }
    },
  };
}

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
  /** Numbers of requests and of suspects in all known reports of the same crash together. */
  knownCounts(report: CrashReport): {
    readonly runningCount: number;
    readonly suspectCount: number;
  };
  /**
   * Sum of the request's shares in all remembered crashes. A crash counts as 1, divided equally
   * between the suspects that ran on the server, or between all its requests when none was a
   * suspect. Of the crashes of servers to which the request was sent before it was a suspect, only
   * the largest share counts: servers that fail together say nothing about what ran on them.
   */
  crashScore(fingerprint: Fingerprint): number;
  /** Monotonic time of the latest crash in the request's score; -Infinity if there is none. */
  lastCrashAtMs(fingerprint: Fingerprint): number;
  /** The crashes in the request's score, with their current age. */
  crashesOf(fingerprint: Fingerprint): readonly CrashReport[];
  /** Requests that were running on several servers that crashed. */
  repeatSuspects(): readonly Fingerprint[];
  /** Number of remembered crashes. While it is zero, every crash score is zero. */
  crashCount(): number;
  /** Clears the score of a request. A completed run shows that it does not crash servers. */
  clear(fingerprint: Fingerprint): void;
}

interface Crash {
  readonly report: CrashReport;
  readonly atMs: number;
}

const MAX_CRASHES = 1_024;
const MAX_REQUESTS_PER_CRASH = 256;
/** Limit on the requests of all crashes together. */
const MAX_REQUESTS = 16_384;
const MIN_REPEATED_CRASHES = 2;

function union(a: readonly Fingerprint[], b: readonly Fingerprint[]): Fingerprint[] {
  return [...new Set([...a, ...b])].slice(0, MAX_REQUESTS_PER_CRASH);
}

function countsOf(report: CrashReport): { runningCount: number; suspectCount: number } {
  return {
    runningCount: Math.max(report.running.length, report.runningCount ?? 0),
    suspectCount: Math.max(report.suspects.length, report.suspectCount ?? 0),
  };
}

const crashKey = ({ serverId, incarnation }: CrashReport): string => `${serverId} ${incarnation}`;

/** Creates the tracker of crashes. Merging reports is idempotent and commutative. */
export function createCrashTracker(options: CrashTrackerOptions): CrashTracker {
  const { clock } = options;
  const crashes = new Map<string, Crash>();
  /** Keys of the crashes of servers that ran a request. */
  const crashKeysByRequest = new Map<Fingerprint, Set<string>>();
  const repeatSuspects = new Set<Fingerprint>();
  const clearedAtMs = new Map<Fingerprint, number>();

  const isRemembered = ({ atMs }: Crash): boolean => atMs >= clock.monotonicMs() - options.holdMs();

  function forget(key: string): void {
    crashes.get(key)?.report.running.forEach((fingerprint) => {
      const keys = crashKeysByRequest.get(fingerprint);
      keys?.delete(key);
      if ((keys?.size ?? 0) < MIN_REPEATED_CRASHES) {
        repeatSuspects.delete(fingerprint);
      }
      if (keys?.size === 0) {
        crashKeysByRequest.delete(fingerprint);
        clearedAtMs.delete(fingerprint);
      }
    });
    crashes.delete(key);
  }

  const hasRepeatSuspect = ({ report }: Crash): boolean =>
    report.running.some((fingerprint) => repeatSuspects.has(fingerprint));

  /** Forgets old crashes, and while there are too many, first those whose requests ran only once. */
  function evict(): void {
    [...crashes].filter(([, crash]) => !isRemembered(crash)).forEach(([key]) => forget(key));
    const isFull = (): boolean =>
      crashes.size > MAX_CRASHES || crashKeysByRequest.size > MAX_REQUESTS;
    if (isFull()) {
      const entries = [...crashes];
      const repeated = entries.filter(([, crash]) => hasRepeatSuspect(crash));
      const others = entries.filter(([, crash]) => !hasRepeatSuspect(crash));
      [...others, ...repeated].forEach(([key]) => {
        if (isFull()) {
          forget(key);
        }
      });
    }
  }

  /** The crashes that count against a request. */
  function countedCrashes(fingerprint: Fingerprint): Crash[] {
    const clearedMs = clearedAtMs.get(fingerprint) ?? -Infinity;
    return [...(crashKeysByRequest.get(fingerprint) ?? [])].flatMap((key) => {
      const crash = crashes.get(key);
      if (crash === undefined || crash.atMs <= clearedMs || !isRemembered(crash)) {
        return [];
      }
      const { suspects } = crash.report;
      const isResponsible =
        countsOf(crash.report).suspectCount === 0 || suspects.includes(fingerprint);
      return isResponsible ? [crash] : [];
    });
  }

  function crashScore(fingerprint: Fingerprint): number {
    let suspectShares = 0;
    let firstShare = 0;
    countedCrashes(fingerprint).forEach(({ report }) => {
      const { runningCount, suspectCount } = countsOf(report);
      if (suspectCount > 0) {
        suspectShares += 1 / suspectCount;
      } else {
        firstShare = Math.max(firstShare, 1 / runningCount);
      }
    });
    return firstShare + suspectShares;
  }

  return {
    merge(report) {
      const key = crashKey(report);
      const known = crashes.get(key);
      const reports = known === undefined ? [report] : [known.report, report];
      const counts = reports.map(countsOf);
      const merged: CrashReport = {
        ...report,
        running: union(known?.report.running ?? [], [...report.running, ...report.suspects]),
        runningCount: Math.max(...counts.map(({ runningCount }) => runningCount)),
        suspects: union(known?.report.suspects ?? [], report.suspects),
        suspectCount: Math.max(...counts.map(({ suspectCount }) => suspectCount)),
      };
      const atMs = known?.atMs ?? clock.monotonicMs() - Math.max(0, report.ageMs ?? 0);
      crashes.set(key, { report: merged, atMs });
      merged.running.forEach((fingerprint) => {
        const keys = crashKeysByRequest.get(fingerprint) ?? new Set();
        crashKeysByRequest.set(fingerprint, keys.add(key));
        if (keys.size >= MIN_REPEATED_CRASHES) {
          repeatSuspects.add(fingerprint);
        }
      });
      evict();
      return merged;
    },
    knownCounts: (report) => countsOf(crashes.get(crashKey(report))?.report ?? report),
    crashScore,
    lastCrashAtMs: (fingerprint) =>
      Math.max(-Infinity, ...countedCrashes(fingerprint).map(({ atMs }) => atMs)),
    crashesOf: (fingerprint) =>
      countedCrashes(fingerprint).map(({ report, atMs }) => ({
        ...report,
        ageMs: Math.round(clock.monotonicMs() - atMs),
      })),
    repeatSuspects: () => [...repeatSuspects],
    crashCount: () => crashes.size,
    clear(fingerprint) {
      if (crashKeysByRequest.has(fingerprint)) {
        clearedAtMs.set(fingerprint, clock.monotonicMs());
      }
    },
  };
}

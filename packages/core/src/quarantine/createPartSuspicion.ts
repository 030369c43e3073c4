import type { PromptPartKey } from '../ids/PromptPartKey.js';
import type { Clock } from '../ports/Clock.js';
import type { PartCrashReport, PartEvidence } from './PartCrashReport.js';

/** Attributes crashes of servers to the prompt parts that requests share. */
export interface PartSuspicion {
  /** Whether any part is suspected. */
  hasSuspects(): boolean;
  /** Those of the parts that are suspected. Requests with one of them run one at a time. */
  suspectsAmong(parts: readonly PromptPartKey[]): readonly PromptPartKey[];
  /** Monotonic time of the part's latest crash, or at which its latest block ended. */
  suspectedSinceMs(part: PromptPartKey): number;
  /** Monotonic time until which requests with all of these parts are blocked; 0 if they are not. */
  blockedUntilMs(parts: readonly PromptPartKey[]): number;
  /** Records that a response on a prompt with these parts started. */
  recordServed(parts: readonly PromptPartKey[]): void;
  /** Records a crash that this host observed. */
  recordCrash(report: PartCrashReport): void;
  /** Adds the evidence of a host to the known evidence, in any order and any number of times. */
  merge(evidence: PartEvidence): void;
  /**
   * Evidence to send to other hosts: what is new, and what parts are blocked for.
   *
   * @param scope `own` leaves out what only other hosts observed, which they report themselves
   */
  evidence(scope?: 'all' | 'own'): PartEvidence;
}

interface Crash {
  readonly atMs: number;
  readonly heardAtMs: number;
  readonly parts: Set<PromptPartKey>;
  readonly trialParts: Set<PromptPartKey>;
  /** Whether this host observed the crash itself. */
  isOwn: boolean;
}

/** Time for which a crash is remembered. */
const CRASH_RETENTION_MS = 600_000;
const MAX_CRASHES = 256;
const MAX_PARTS_PER_CRASH = 256;
/** Number of parts whose latest response is remembered. */
const MAX_SERVED_PARTS = 8_192;
/** Duration of the first block of a part; each failed trial multiplies it. */
const FIRST_BLOCK_MS = 10_000;
const BLOCK_GROWTH = 4;
const MAX_BLOCK_MS = CRASH_RETENTION_MS / 2;
/** Level from which a part whose trial crashed a server is blocked. */
const BLOCK_LEVEL = 2;
/** Time for which new evidence is sent, and the maximum size of one message. */
const REPORT_MAX_AGE_MS = 3_000;
const MAX_REPORTED_CRASHES = 8;
const MAX_REPORTED_PARTS = 16;
const MAX_REPORTED_SERVED = 32;

/** Parts of which at least one crashed the server of a trial. */
interface Blame {
  readonly parts: readonly PromptPartKey[];
  readonly blockedUntilMs: number;
}

interface Counts {
  crashes: number;
  trialCrashes: number;
  lastCrashAtMs: number;
}

/**
 * Creates the attribution without any evidence.
 *
 * A crash counts against a part if a request with the part had no response yet and no response on
 * the part has started since, on any host. A part with responses before the crash is suspected only
 * from the second crash on.
 *
 * A part is blamed after a trial, a request that was sent while the part was suspected, crashed
 * another server. If several parts of that request are equally suspect, only requests with all of
 * them are blocked, so that requests with some of them show which one it is. Crashes that a blamed
 * part explains no longer count against others. Simultaneous crashes alone, such as the loss of a
 * zone, block nothing.
 */
export function createPartSuspicion(clock: Clock): PartSuspicion {
  const crashes = new Map<string, Crash>();
  /** In order of the latest response, so that the oldest entry is evicted first. */
  const servedAtMs = new Map<PromptPartKey, number>();
  /** Responses that acquitted a part of a crash and have to be reported. */
  const acquittedAtMs = new Map<PromptPartKey, number>();
  /** Those of them that this host acquitted. */
  const ownAcquittals = new Set<PromptPartKey>();
  let blames: readonly Blame[] = [];
  let suspects = new Map<PromptPartKey, Counts>();

  const isCounted = (crash: Crash, part: PromptPartKey): boolean =>
    crash.atMs > (servedAtMs.get(part) ?? -Infinity);
  const countedParts = (crash: Crash): PromptPartKey[] =>
    [...crash.parts].filter((part) => isCounted(crash, part));

  function evictOld(): void {
    const oldestMs = clock.monotonicMs() - CRASH_RETENTION_MS;
    const excess = crashes.size - MAX_CRASHES;
    [...crashes]
      .filter(([, { atMs }], index) => atMs < oldestMs || index < excess)
      .forEach(([id]) => crashes.delete(id));
  }

  function countCrashes(counted: readonly Crash[]): Map<PromptPartKey, Counts> {
    const counts = new Map<PromptPartKey, Counts>();
    counted.forEach((crash) =>
      countedParts(crash).forEach((part) => {
        const count = counts.get(part) ?? {
          crashes: 0,
          trialCrashes: 0,
          lastCrashAtMs: 0,
        };
        counts.set(part, count);
        count.crashes += 1;
        count.lastCrashAtMs = Math.max(count.lastCrashAtMs, crash.atMs);
        count.trialCrashes += crash.trialParts.has(part) ? 1 : 0;
      }),
    );
    return counts;
  }

  const levelOf = (part: PromptPartKey, count: Counts | undefined): number =>
    (count?.crashes ?? 0) - (servedAtMs.has(part) ? 1 : 0);

  function blockMs(trialCrashes: number): number {
    return Math.min(MAX_BLOCK_MS, FIRST_BLOCK_MS * BLOCK_GROWTH ** (trialCrashes - 1));
  }

  /** The most suspect parts of a trial that crashed a server. */
  function blameOf(crash: Crash, counts: ReadonlyMap<PromptPartKey, Counts>): Blame | undefined {
    const parts = countedParts(crash).filter((part) => crash.trialParts.has(part));
    const maxLevel = Math.max(0, ...parts.map((part) => levelOf(part, counts.get(part))));
    if (maxLevel < BLOCK_LEVEL) {
      return undefined;
    }
    const blamed = parts.filter((part) => levelOf(part, counts.get(part)) === maxLevel);
    const trialCrashes = Math.max(...blamed.map((part) => counts.get(part)?.trialCrashes ?? 1));
    return { parts: blamed, blockedUntilMs: crash.atMs + blockMs(trialCrashes) };
  }

  function update(): void {
    evictOld();
    const all = [...crashes.values()];
    const counts = countCrashes(all);
    blames = all.flatMap((crash) => blameOf(crash, counts) ?? []);
    const isExplained = (crash: Crash): boolean =>
      blames.some(({ parts }) =>
        parts.every((part) => crash.parts.has(part) && isCounted(crash, part)),
      );
    const unexplained = countCrashes(all.filter((crash) => !isExplained(crash)));
    const blamedParts = blames.flatMap(({ parts }) => parts);
    suspects = new Map([
      ...[...unexplained].filter(([part, count]) => levelOf(part, count) > 0),
      ...[...counts].filter(([part]) => blamedParts.includes(part)),
    ]);
  }

  function setServed(part: PromptPartKey, atMs: number): void {
    servedAtMs.delete(part);
    servedAtMs.set(part, atMs);
    const oldest = servedAtMs.keys().next().value;
    if (servedAtMs.size > MAX_SERVED_PARTS && oldest !== undefined) {
      servedAtMs.delete(oldest);
    }
  }

  /** Records a response that started at `atMs`. Returns whether it acquits the part of a crash. */
  function acquit(part: PromptPartKey, atMs: number): boolean {
    const acquits = [...crashes.values()].some(
      (crash) => crash.parts.has(part) && isCounted(crash, part) && crash.atMs <= atMs,
    );
    if (acquits) {
      acquittedAtMs.set(part, atMs);
    }
    if (acquits || atMs > (servedAtMs.get(part) ?? -Infinity)) {
      setServed(part, atMs);
    }
    return acquits;
  }

  function addCrash({ crashId, ageMs, parts, trialParts }: PartCrashReport): boolean {
    const nowMs = clock.monotonicMs();
    const known = crashes.get(crashId);
    const crash = known ?? {
      atMs: nowMs - ageMs,
      heardAtMs: nowMs,
      parts: new Set(),
      trialParts: new Set(),
      isOwn: false,
    };
    crashes.set(crashId, crash);
    const sizeBefore = crash.parts.size + crash.trialParts.size;
    [...parts, ...trialParts]
      .filter((part) => !crash.parts.has(part))
      .slice(0, Math.max(0, MAX_PARTS_PER_CRASH - crash.parts.size))
      .forEach((part) => {
        crash.parts.add(part);
        // Other hosts may have heard of the crash, but not of the response since.
        if (!isCounted(crash, part)) {
          acquittedAtMs.set(part, servedAtMs.get(part) ?? nowMs);
          ownAcquittals.add(part);
        }
      });
    trialParts
      .filter((part) => crash.parts.has(part))
      .forEach((part) => crash.trialParts.add(part));
    return known === undefined || crash.parts.size + crash.trialParts.size > sizeBefore;
  }

  /** Parts of a crash that still count, the most suspect ones first. */
  function reportedParts(crash: Crash): PromptPartKey[] {
    return countedParts(crash)
      .sort((a, b) => levelOf(b, suspects.get(b)) - levelOf(a, suspects.get(a)))
      .slice(0, MAX_REPORTED_PARTS);
  }

  return {
    hasSuspects: () => suspects.size > 0,
    suspectsAmong: (parts) => parts.filter((part) => suspects.has(part)),
    suspectedSinceMs(part) {
      const nowMs = clock.monotonicMs();
      const endedBlocks = blames.filter(
        ({ parts, blockedUntilMs }) => parts.includes(part) && blockedUntilMs <= nowMs,
      );
      return Math.max(
        suspects.get(part)?.lastCrashAtMs ?? 0,
        ...endedBlocks.map(({ blockedUntilMs }) => blockedUntilMs),
      );
    },
    blockedUntilMs(parts) {
      const nowMs = clock.monotonicMs();
      const blocks = blames.filter(
        (blame) =>
          blame.blockedUntilMs > nowMs && blame.parts.every((part) => parts.includes(part)),
      );
      return Math.max(0, ...blocks.map((blame) => blame.blockedUntilMs));
    },
    recordServed(parts) {
      const nowMs = clock.monotonicMs();
      const acquitted = parts.filter((part) => acquit(part, nowMs));
      acquitted.forEach((part) => ownAcquittals.add(part));
      if (acquitted.length > 0) {
        update();
      }
    },
    recordCrash(report) {
      const isNew = addCrash(report);
      const crash = crashes.get(report.crashId);
      if (crash !== undefined) {
        crash.isOwn = true;
      }
      if (isNew) {
        update();
      }
    },
    merge({ crashes: reports, served }) {
      const nowMs = clock.monotonicMs();
      const added = reports.filter(addCrash);
      const acquitted = served.filter(({ part, ageMs }) => acquit(part, nowMs - ageMs));
      if (added.length > 0 || acquitted.length > 0) {
        update();
      }
    },
    evidence(scope = 'all') {
      const nowMs = clock.monotonicMs();
      [...acquittedAtMs]
        .filter(([, atMs]) => nowMs - atMs > REPORT_MAX_AGE_MS)
        .forEach(([part]) => {
          acquittedAtMs.delete(part);
          ownAcquittals.delete(part);
        });
      const isReported = (crash: Crash): boolean =>
        nowMs - crash.heardAtMs <= REPORT_MAX_AGE_MS ||
        blames.some((blame) =>
          blame.parts.some((part) => isCounted(crash, part) && crash.parts.has(part)),
        );
      return {
        crashes: [...crashes]
          .filter(([, crash]) => (scope === 'all' || crash.isOwn) && isReported(crash))
          .slice(-MAX_REPORTED_CRASHES)
          .map(([crashId, crash]) => {
            const parts = reportedParts(crash);
            const trialParts = parts.filter((part) => crash.trialParts.has(part));
            return { crashId, ageMs: Math.round(nowMs - crash.atMs), parts, trialParts };
          })
          .filter(({ parts }) => parts.length > 0),
        served: [...acquittedAtMs]
          .filter(([part]) => scope === 'all' || ownAcquittals.has(part))
          .slice(-MAX_REPORTED_SERVED)
          .map(([part, atMs]) => ({ part, ageMs: Math.round(nowMs - atMs) })),
      };
    },
  };
}

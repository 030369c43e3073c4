import { asId, createCrashTracker } from '@camphorbarrow/core';
import type {
  Clock,
  CrashReport,
  Fingerprint,
  Incarnation,
  LogSink,
  PartSuspicion,
  PromptPartKey,
} from '@camphorbarrow/core';
import { lifetimeId } from '../model/lifetimeId.js';
import type { ServerState } from '../model/ServerState.js';

/** Score from which a request is quarantined: two crashes that no other request explains. */
const QUARANTINE_SCORE = 2;
/** Duration of the first quarantine; each further crash after one multiplies it. */
const FIRST_QUARANTINE_MS = 60_000;
const QUARANTINE_GROWTH = 4;
const MAX_QUARANTINE_MS = 3_600_000;
/**
 * Time for which a crash counts against the requests that were running on the server. Longer than
 * any quarantine, so that a request which crashes a server after one is not taken for a new one.
 */
const CRASH_RETENTION_MS = 2 * MAX_QUARANTINE_MS;
/** Scores are sums of fractions, so rounding can leave them slightly below a whole number. */
const SCORE_TOLERANCE = 1e-9;
/** Time after a broken connection within which the end of the process counts as a crash. */
const CRASH_CONFIRMATION_MS = 5_000;
/** Time for which a crash report is sent to peers, and the maximum number of such reports. */
const REPORT_MAX_AGE_MS = 3_000;
const MAX_REPORTS = 32;
/** Maximum number of requests in one report, and in all of them. */
const MAX_REPORTED_REQUESTS = 64;
const MAX_REPORTED_REQUESTS_IN_ALL = 448;
/**
 * Maximum number of reports of earlier crashes that count against quarantined requests, for hosts
 * that were restarted or cut off when they happened.
 */
const MAX_QUARANTINE_REPORTS = 16;
const MAX_QUARANTINED_PER_REPORT = 8;
const MAX_LOGGED_PARTS = 16;

/** Request whose connection broke. */
export interface BrokenRequest {
  readonly fingerprint: Fingerprint;
  /** Whether it was a suspect of an earlier crash when it was sent. */
  readonly wasSuspect: boolean;
  /** Whether its response had started. */
  readonly hasStarted: boolean;
  /** Prompt parts that it shares with other requests. */
  readonly sharedParts: readonly PromptPartKey[];
  /** Those of them that were suspected when it was sent. */
  readonly trialParts: readonly PromptPartKey[];
  /** Whether the server probably ended for another reason than what it was running. */
  readonly isExcused?: boolean;
}

export interface CrashGuardOptions {
  readonly clock: Clock;
  readonly log: LogSink;
  /** Attributes crashes to the prompt parts of requests without a response. */
  readonly suspicion: PartSuspicion;
  /** Whether no process listens at the server's endpoint, while this host reaches other servers. */
  readonly refusesConnections: (server: ServerState) => Promise<boolean>;
}

/** Quarantines requests that crash the servers that run them. */
export interface CrashGuard {
  /** Time in ms for which the request is rejected because it crashed several servers, or 0. */
  quarantineMs(fingerprint: () => Fingerprint): number;
  /** Whether a server crashed while it ran the request, which has not completed since. */
  isSuspect(fingerprint: () => Fingerprint): boolean;
  /** Key of a request whose quarantine has ended, which is tried at one server first. */
  trialKey(fingerprint: () => Fingerprint): PromptPartKey | undefined;
  /** Monotonic time at which the latest quarantine of the request with this trial key ended. */
  quarantineEndMs(trialKey: PromptPartKey): number;
  /** Records that a server completed the request. */
  recordCompletion(fingerprint: () => Fingerprint): void;
  /** Records that the connection broke while the server ran the request. */
  recordBrokenConnection(server: ServerState, request: BrokenRequest): void;
  /** Checks whether the process of a server with a broken connection still listens. */
  investigate(server: ServerState): Promise<void>;
  /** Drops the broken connections to the server: this host lost its own links to all servers. */
  forget(server: ServerState): void;
  /** Records that the process refuses connections or was replaced. */
  recordServerGone(server: ServerState): void;
  /** Treats the servers with all other incarnations as gone. */
  retain(incarnations: ReadonlySet<string>): void;
  /** Crash reports to send to peers in all regions: recent ones, and those behind quarantines. */
  reports(): readonly CrashReport[];
  /** Adds the crash reports of a peer. */
  mergeReports(reports: readonly CrashReport[]): void;
  /** Sets the function that is called after a crash, to send the evidence to peers at once. */
  onCrash(listener: () => void): void;
}

interface PendingCrash {
  readonly server: ServerState;
  requests: readonly { readonly request: BrokenRequest; readonly atMs: number }[];
  isRefused: Promise<boolean> | undefined;
}

/** Creates a guard without any recorded crashes. */
export function createCrashGuard(options: CrashGuardOptions): CrashGuard {
  const { clock, log, suspicion } = options;
  const tracker = createCrashTracker({ clock, holdMs: () => CRASH_RETENTION_MS });
  const pending = new Map<string, PendingCrash>();
  /**
   * Reports of what this host had sent to servers that crashed. The other hosts report their own
   * requests: with those of all hosts, the reports would grow with the fleet.
   */
  const recent = new Map<
    string,
    { readonly report: CrashReport; readonly atMs: number; readonly reportedAtMs: number }
  >();
  let notify = (): void => undefined;

  /** Monotonic time at which the latest quarantine of a request ends; -Infinity if it had none. */
  function quarantinedUntilMs(fingerprint: Fingerprint): number {
    const furtherCrashes = Math.floor(
      tracker.crashScore(fingerprint) - QUARANTINE_SCORE + SCORE_TOLERANCE,
    );
    return furtherCrashes < 0
      ? -Infinity
      : tracker.lastCrashAtMs(fingerprint) +
          Math.min(MAX_QUARANTINE_MS, FIRST_QUARANTINE_MS * QUARANTINE_GROWTH ** furtherCrashes);
  }

  function report(server: ServerState, requests: readonly BrokenRequest[], atMs: number): void {
    const { id } = server.registration;
    const fingerprints = [...new Set(requests.map(({ fingerprint }) => fingerprint))];
    const unstarted = requests.filter(({ hasStarted }) => !hasStarted);
    const parts = [...new Set(unstarted.flatMap(({ sharedParts }) => sharedParts))];
    const trialParts = [...new Set(unstarted.flatMap((request) => request.trialParts))];
    const crashId = lifetimeId(server.registration);
    const ageMs = clock.monotonicMs() - atMs;
    suspicion.recordCrash({ crashId, ageMs, parts, trialParts });
    const known = recent.get(server.incarnation)?.report;
    const suspects = requests
      .filter(({ wasSuspect }) => wasSuspect)
      .map(({ fingerprint }) => fingerprint);
    const own = {
      serverId: id,
      incarnation: asId<Incarnation>(crashId),
      ageMs,
      running: [...new Set([...(known?.running ?? []), ...fingerprints])],
      suspects: [...new Set([...(known?.suspects ?? []), ...suspects])],
    };
    tracker.merge(own);
    recent.set(server.incarnation, { report: own, atMs, reportedAtMs: clock.monotonicMs() });
    log.warn('server-crashed', {
      serverId: id,
      running: fingerprints.length,
      unstarted: unstarted.length,
      maxCrashScore: Math.max(0, ...fingerprints.map(tracker.crashScore)),
      quarantined: fingerprints.filter((each) => quarantinedUntilMs(each) > clock.monotonicMs())
        .length,
      unstartedParts: parts.slice(0, MAX_LOGGED_PARTS).join(' '),
      trialParts: trialParts.slice(0, MAX_LOGGED_PARTS).join(' '),
    });
    notify();
  }

  function confirmCrash(incarnation: string): void {
    const crash = pending.get(incarnation);
    pending.delete(incarnation);
    // A connection that broke long before is no sign that its request was running.
    const oldestMs = clock.monotonicMs() - CRASH_CONFIRMATION_MS;
    const running = crash?.requests.filter(({ atMs }) => atMs > oldestMs) ?? [];
    const [first] = running;
    if (crash !== undefined && first !== undefined) {
      const requests = running
        .map(({ request }) => request)
        .filter(({ isExcused = false }) => !isExcused);
      report(crash.server, requests, first.atMs);
    }
  }

  /** Reports of known crashes that count against a quarantined request, reduced to such requests. */
  function quarantineReports(): CrashReport[] {
    const quarantined = new Set(
      tracker.repeatSuspects().filter((each) => quarantinedUntilMs(each) !== -Infinity),
    );
    const reports = [...quarantined].flatMap((fingerprint) => tracker.crashesOf(fingerprint));
    const unique = new Map(reports.map((each) => [each.incarnation, each]));
    const isQuarantined = (fingerprint: Fingerprint): boolean => quarantined.has(fingerprint);
    return [...unique.values()].slice(-MAX_QUARANTINE_REPORTS).map((each) => ({
      ...each,
      running: each.running.filter(isQuarantined).slice(0, MAX_QUARANTINED_PER_REPORT),
      suspects: each.suspects.filter(isQuarantined).slice(0, MAX_QUARANTINED_PER_REPORT),
    }));
  }

  function recentReports(): CrashReport[] {
    const nowMs = clock.monotonicMs();
    [...recent]
      .filter(([, { reportedAtMs }]) => reportedAtMs < nowMs - REPORT_MAX_AGE_MS)
      .forEach(([incarnation]) => recent.delete(incarnation));
    const latest = [...recent.values()].slice(-MAX_REPORTS);
    const maxRequests = Math.min(
      MAX_REPORTED_REQUESTS,
      Math.floor(MAX_REPORTED_REQUESTS_IN_ALL / Math.max(1, latest.length)),
    );
    return latest.map(({ report: each, atMs }) => ({
      ...each,
      // A host that misses the reports of others divides by the numbers of all requests nevertheless.
      ...tracker.knownCounts(each),
      ageMs: Math.round(nowMs - atMs),
      running: each.running.slice(0, maxRequests),
      suspects: each.suspects.slice(0, maxRequests),
    }));
  }

  return {
    quarantineMs(fingerprint) {
      const untilMs = tracker.crashCount() === 0 ? 0 : quarantinedUntilMs(fingerprint());
      return Math.max(0, untilMs - clock.monotonicMs());
    },
    isSuspect: (fingerprint) => tracker.crashCount() > 0 && tracker.crashScore(fingerprint()) > 0,
    trialKey: (fingerprint) =>
      tracker.crashCount() > 0 && quarantinedUntilMs(fingerprint()) !== -Infinity
        ? asId<PromptPartKey>(fingerprint())
        : undefined,
    quarantineEndMs: (trialKey) => quarantinedUntilMs(asId<Fingerprint>(trialKey)),
    recordCompletion(fingerprint) {
      if (tracker.crashCount() > 0) {
        tracker.clear(fingerprint());
      }
    },
    recordBrokenConnection(server, request) {
      const crash = pending.get(server.incarnation) ?? {
        server,
        requests: [],
        isRefused: undefined,
      };
      const atMs = clock.monotonicMs();
      crash.requests = [
        ...crash.requests.filter((each) => each.atMs > atMs - CRASH_CONFIRMATION_MS),
        { request, atMs },
      ];
      pending.set(server.incarnation, crash);
    },
    async investigate(server) {
      const { incarnation } = server;
      const crash = pending.get(incarnation);
      if (crash === undefined) {
        return;
      }
      crash.isRefused ??= options.refusesConnections(server);
      try {
        if (await crash.isRefused) {
          confirmCrash(incarnation);
        }
      } finally {
        // The process may end later.
        crash.isRefused = undefined;
      }
    },
    forget({ incarnation }) {
      pending.delete(incarnation);
    },
    recordServerGone: ({ incarnation }) => confirmCrash(incarnation),
    retain(incarnations) {
      [...pending.keys()]
        .filter((incarnation) => !incarnations.has(incarnation))
        .forEach(confirmCrash);
    },
    reports: () => [...recentReports(), ...quarantineReports()],
    mergeReports(reports) {
      reports.forEach((crash) => tracker.merge(crash));
    },
    onCrash(listener) {
      notify = listener;
    },
  };
}

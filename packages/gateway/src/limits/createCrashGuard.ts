import { asId, createCrashTracker } from '@camphorbarrow/core';
import type {
  Clock,
  CrashReport,
  Fingerprint,
  LogSink,
  PartSuspicion,
  PromptPartKey,
} from '@camphorbarrow/core';
import type { Endpoint } from '../model/Endpoint.js';
import { lifetimeId } from '../model/lifetimeId.js';
import type { ServerState } from '../model/ServerState.js';

/** Time for which a crash counts against the requests that were running on the server. */
const CRASH_RETENTION_MS = 60_000;
/** Score from which a request is quarantined: two crashes that no other request explains. */
const QUARANTINE_SCORE = 2;
/** Scores are sums of fractions, so rounding can leave them slightly below a whole number. */
const SCORE_TOLERANCE = 1e-9;
/** Time after a broken connection within which the end of the process counts as a crash. */
const CRASH_CONFIRMATION_MS = 5_000;
/** Time for which a crash report is sent to peers, and the maximum number of reports sent. */
const REPORT_MAX_AGE_MS = 3_000;
const MAX_REPORTS = 8;
const MAX_LOGGED_PARTS = 16;

/** Request whose connection broke. */
export interface BrokenRequest {
  readonly fingerprint: Fingerprint;
  /** Whether its response had started. */
  readonly hasStarted: boolean;
  /** Prompt parts that it shares with other requests. */
  readonly sharedParts: readonly PromptPartKey[];
  /** Those of them that were suspected when it was sent. */
  readonly trialParts: readonly PromptPartKey[];
}

export interface CrashGuardOptions {
  readonly clock: Clock;
  readonly log: LogSink;
  /** Attributes crashes to the prompt parts of requests without a response. */
  readonly suspicion: PartSuspicion;
  /** Whether no process listens at the endpoint. */
  readonly refusesConnections: (endpoint: Endpoint) => Promise<boolean>;
}

/** Quarantines requests that crash the servers that run them. */
export interface CrashGuard {
  /** Whether the request is rejected because it crashed several servers. */
  isQuarantined(fingerprint: () => Fingerprint): boolean;
  /** Records that a server completed the request. */
  recordCompletion(fingerprint: () => Fingerprint): void;
  /** Records that the connection broke while the server ran the request. */
  recordBrokenConnection(server: ServerState, request: BrokenRequest): void;
  /** Checks whether the process of a server with a broken connection still listens. */
  investigate(server: ServerState): Promise<void>;
  /** Records that the process refuses connections or was replaced. */
  recordServerGone(server: ServerState): void;
  /** Treats the servers with all other incarnations as gone. */
  retain(incarnations: ReadonlySet<string>): void;
  /** Recent crash reports, to send to peers. */
  recentReports(): readonly CrashReport[];
  /** Adds the crash reports of a peer. */
  mergeReports(reports: readonly CrashReport[]): void;
  /** Sets the function that is called after a crash, to send the evidence to peers at once. */
  onCrash(listener: () => void): void;
}

interface PendingCrash {
  readonly server: ServerState;
  readonly requests: BrokenRequest[];
  isRefused: Promise<boolean> | undefined;
  readonly atMs: number;
}

/** Creates a guard without any recorded crashes. */
export function createCrashGuard(options: CrashGuardOptions): CrashGuard {
  const { clock, log, suspicion } = options;
  const tracker = createCrashTracker({ clock, holdMs: () => CRASH_RETENTION_MS });
  const pending = new Map<string, PendingCrash>();
  const recent = new Map<string, { report: CrashReport; atMs: number }>();
  let notify = (): void => undefined;

  function report({ server, requests, atMs }: PendingCrash): void {
    const { id } = server.registration;
    const fingerprints = [...new Set(requests.map(({ fingerprint }) => fingerprint))];
    const unstarted = requests.filter(({ hasStarted }) => !hasStarted);
    const parts = [...new Set(unstarted.flatMap(({ sharedParts }) => sharedParts))];
    const trialParts = [...new Set(unstarted.flatMap((request) => request.trialParts))];
    const crashId = lifetimeId(server.registration);
    const ageMs = clock.monotonicMs() - atMs;
    suspicion.recordCrash({ crashId, ageMs, parts, trialParts });
    const crash = tracker.merge({
      serverId: id,
      incarnation: asId(crashId),
      running: fingerprints,
      suspects: fingerprints.filter((fingerprint) => tracker.crashScore(fingerprint) > 0),
    });
    recent.set(server.incarnation, { report: crash, atMs: clock.monotonicMs() });
    log.warn('server-crashed', {
      serverId: id,
      running: fingerprints.length,
      unstarted: unstarted.length,
      maxCrashScore: Math.max(0, ...fingerprints.map(tracker.crashScore)),
      unstartedParts: parts.slice(0, MAX_LOGGED_PARTS).join(' '),
      trialParts: trialParts.slice(0, MAX_LOGGED_PARTS).join(' '),
    });
    notify();
  }

  function confirmCrash(incarnation: string): void {
    const crash = pending.get(incarnation);
    pending.delete(incarnation);
    if (crash !== undefined && clock.monotonicMs() - crash.atMs < CRASH_CONFIRMATION_MS) {
      report(crash);
    }
  }

  return {
    isQuarantined: (fingerprint) =>
      tracker.crashCount() > 0 &&
      tracker.crashScore(fingerprint()) >= QUARANTINE_SCORE - SCORE_TOLERANCE,
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
        atMs: clock.monotonicMs(),
      };
      crash.requests.push(request);
      pending.set(server.incarnation, crash);
    },
    async investigate({ incarnation, registration }) {
      const crash = pending.get(incarnation);
      if (crash !== undefined) {
        crash.isRefused ??= options.refusesConnections(registration.endpoint);
        if (await crash.isRefused) {
          confirmCrash(incarnation);
        }
      }
    },
    recordServerGone: ({ incarnation }) => confirmCrash(incarnation),
    retain(incarnations) {
      [...pending.keys()]
        .filter((incarnation) => !incarnations.has(incarnation))
        .forEach(confirmCrash);
    },
    recentReports() {
      const oldestMs = clock.monotonicMs() - REPORT_MAX_AGE_MS;
      [...recent]
        .filter(([, { atMs }]) => atMs < oldestMs)
        .forEach(([incarnation]) => recent.delete(incarnation));
      return [...recent.values()].slice(-MAX_REPORTS).map((entry) => entry.report);
    },
    mergeReports(reports) {
      reports.forEach((crash) => tracker.merge(crash));
    },
    onCrash(listener) {
      notify = listener;
    },
  };
}

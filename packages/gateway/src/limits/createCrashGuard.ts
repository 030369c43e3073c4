import { asId, createCrashTracker } from '@camphorbarrow/core';
import type { Clock, CrashReport, Fingerprint, LogSink } from '@camphorbarrow/core';
import type { ServerState } from '../model/ServerState.js';

/** Time for which a crash counts against the requests that ran on the server. */
const HOLD_MS = 60_000;
/** Blame from which a request is refused: two crashes that no other request explains. */
const REFUSED_BLAME = 2;
/** Shares of blame are fractions; their sum may miss a whole number by rounding. */
const SHARE_TOLERANCE = 1e-9;
/** Time after a broken connection in which the end of the server's process shows a crash. */
const CONFIRM_MS = 5_000;
/** Time for which a report is told to peers, and their number at the most. */
const TOLD_MS = 3_000;
const MAX_TOLD = 8;

export interface CrashGuard {
  /** Whether the request is to blame for crashes of the servers that ran it. */
  isQuarantined(fingerprint: () => Fingerprint): boolean;
  /** A server ran the request to its end. */
  recordCompletion(fingerprint: () => Fingerprint): void;
  /** The connection broke in the middle of the exchange. */
  recordBrokenConnection(server: ServerState, fingerprint: Fingerprint): void;
  /** The process refuses connections or another one has its place. */
  recordServerGone(server: ServerState): void;
  /** Lifetimes of servers that are still known; the others are gone. */
  retain(incarnations: ReadonlySet<string>): void;
  /** Reports of crashes of late, for peers. */
  recentReports(): readonly CrashReport[];
  mergeReports(reports: readonly CrashReport[]): void;
}

interface PendingCrash {
  readonly server: ServerState;
  readonly running: Set<Fingerprint>;
  readonly atMs: number;
}

/** Creates the guard that stops requests which crash every server that runs them. */
export function createCrashGuard(clock: Clock, log: LogSink): CrashGuard {
  const ledger = createCrashTracker({ clock, holdMs: () => HOLD_MS });
  const pending = new Map<string, PendingCrash>();
  const told = new Map<string, { report: CrashReport; atMs: number }>();

  /** Name of a lifetime that other hosts use alike. */
  const lifetimeOf = ({ registration }: ServerState): string =>
    `${registration.startedAtMs ?? registration.endpoint.host}`;

  function report({ server, running }: PendingCrash): void {
    const { id } = server.registration;
    const fingerprints = [...running];
    const crash = ledger.merge({
      serverId: id,
      incarnation: asId(lifetimeOf(server)),
      running: fingerprints,
      suspects: fingerprints.filter((fingerprint) => ledger.crashScore(fingerprint) > 0),
    });
    told.set(server.incarnation, { report: crash, atMs: clock.monotonicMs() });
    log.warn('server-crashed', { serverId: id, running: fingerprints.length });
  }

  function noteGone(incarnation: string): void {
    const crash = pending.get(incarnation);
    pending.delete(incarnation);
    if (crash !== undefined && clock.monotonicMs() - crash.atMs < CONFIRM_MS) {
      report(crash);
    }
  }

  return {
    isQuarantined: (fingerprint) =>
      ledger.crashCount() > 0 &&
      ledger.crashScore(fingerprint()) >= REFUSED_BLAME - SHARE_TOLERANCE,
    recordCompletion(fingerprint) {
      if (ledger.crashCount() > 0) {
        ledger.clear(fingerprint());
      }
    },
    recordBrokenConnection(server, fingerprint) {
      const crash = pending.get(server.incarnation) ?? {
        server,
        running: new Set<Fingerprint>(),
        atMs: clock.monotonicMs(),
      };
      crash.running.add(fingerprint);
      pending.set(server.incarnation, crash);
    },
    recordServerGone: ({ incarnation }) => noteGone(incarnation),
    retain(incarnations) {
      [...pending.keys()].filter((known) => !incarnations.has(known)).forEach(noteGone);
    },
    recentReports() {
      const oldestMs = clock.monotonicMs() - TOLD_MS;
      [...told]
        .filter(([, { atMs }]) => atMs < oldestMs)
        .forEach(([incarnation]) => told.delete(incarnation));
      return [...told.values()].slice(-MAX_TOLD).map((entry) => entry.report);
    },
    mergeReports(reports) {
      reports.forEach((crash) => ledger.merge(crash));
    },
  };
}

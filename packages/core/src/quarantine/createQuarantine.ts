import { RequestQuarantinedError } from '../errors/RequestQuarantinedError.js';
import type { Fingerprint } from '../ids/Fingerprint.js';
import type { Incarnation } from '../ids/Incarnation.js';
import type { ServerId } from '../ids/ServerId.js';
import type { Clock } from '../ports/Clock.js';
import type { LogSink } from '../ports/LogSink.js';
import type { ServerView } from '../routing/ServerView.js';
import type { CrashReport } from './CrashReport.js';
import { createCrashTracker } from './createCrashTracker.js';

export interface QuarantineOptions {
  readonly clock: Clock;
  readonly log: LogSink;
  /** Time for which a crash counts against the requests that ran on the server. */
  readonly holdMs: () => number;
  /** Whether the process lifetime has ended: its address refuses connections or has a new one. */
  readonly hasCrashed: (server: ServerView) => Promise<boolean>;
  /** Hands a report to the region's entry hosts and returns what they know of the same crash. */
  readonly broadcast: (report: CrashReport) => Promise<readonly CrashReport[]>;
}

/** A request running on a server, from its dispatch to its end. */
export interface RunningRequest {
  /** The request was answered to its end. */
  markCompleted(): void;
  /** The request ended without a crash of the server. */
  markEnded(): void;
  /** The connection broke; resolves when blame has been decided and shared with the region. */
  reportBroken(): Promise<void>;
}

export interface Quarantine {
  /** @throws RequestQuarantinedError when the request is to blame for `crashLimit` crashes */
  check(fingerprint: Fingerprint, crashLimit: number): void;
  /** Whether the request ran on a server that crashed and has not been answered since. */
  isSuspect(fingerprint: Fingerprint): boolean;
  /** Whether this entry host has a suspect running on the server. */
  hasRunningSuspect(serverId: ServerId): boolean;
  trackRequest(server: ServerView, fingerprint: Fingerprint): RunningRequest;
  /** Takes a peer's report over and answers with this host's view of the crash. */
  mergePeerReport(report: CrashReport): CrashReport;
}

interface Run {
  readonly fingerprint: Fingerprint;
  readonly incarnation: Incarnation;
}

/** Shares of blame are fractions; their sum may miss a whole number by rounding. */
const SHARE_TOLERANCE = 1e-9;
const UNKNOWN_INCARNATION = 'unknown' as Incarnation;

function incarnationOf(server: ServerView): Incarnation {
  return server.load?.incarnation ?? UNKNOWN_INCARNATION;
}

/** Creates the guard that stops requests which crash the servers that run them. */
export function createQuarantine(options: QuarantineOptions): Quarantine {
  const ledger = createCrashTracker(options);
  const running = new Map<ServerId, Set<Run>>();

  const isSuspect = (fingerprint: Fingerprint): boolean => ledger.crashScore(fingerprint) > 0;

  const runsOn = (serverId: ServerId): Run[] => [...(running.get(serverId) ?? [])];

  /** Adds the requests that this host has running on the server to a report. */
  function complete(report: CrashReport): CrashReport {
    const own = runsOn(report.serverId)
      .filter((run) => run.incarnation === report.incarnation)
      .map((run) => run.fingerprint);
    const suspects = own.filter(isSuspect);
    return ledger.merge({
      ...report,
      running: [...report.running, ...own],
      suspects: [...report.suspects, ...suspects],
    });
  }

  async function recordCrash(server: ServerView): Promise<void> {
    if (!(await options.hasCrashed(server))) {
      return;
    }
    const { serverId } = server.entry;
    const incarnation = incarnationOf(server);
    const report = complete({ serverId, incarnation, running: [], suspects: [] });
    options.log.warn('server-crashed', { serverId, runningRequests: report.running.length });
    const answers = await options.broadcast(report);
    answers.forEach((answer) => ledger.merge(answer));
  }

  return {
    check(fingerprint, crashLimit) {
      const blame = ledger.crashScore(fingerprint);
      if (blame > crashLimit - 1 + SHARE_TOLERANCE) {
        throw new RequestQuarantinedError(
          'This request has crashed backend servers and is not run again for now.',
          { props: { retryAfterMs: options.holdMs() } },
        );
      }
    },
    isSuspect,
    hasRunningSuspect: (serverId) => runsOn(serverId).some((run) => isSuspect(run.fingerprint)),
    trackRequest(server, fingerprint) {
      const { serverId } = server.entry;
      const run: Run = { fingerprint, incarnation: incarnationOf(server) };
      const onServer = running.get(serverId) ?? new Set<Run>();
      running.set(serverId, onServer);
      onServer.add(run);
      const ended = (): void => {
        onServer.delete(run);
      };
      return {
        markEnded: ended,
        markCompleted() {
          ended();
          ledger.clear(fingerprint);
        },
        async reportBroken() {
          try {
            await recordCrash(server);
          } finally {
            ended();
          }
        },
      };
    },
    mergePeerReport: complete,
  };
}

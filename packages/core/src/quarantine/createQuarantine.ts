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
  /** Time for which a crash counts in the scores of the requests that ran on the server. */
  readonly holdMs: () => number;
  /** Whether the server process crashed: it refuses connections or has a new incarnation. */
  readonly hasCrashed: (server: ServerView) => Promise<boolean>;
  /** Sends a report to the region's entry hosts and returns their reports of the same crash. */
  readonly broadcast: (report: CrashReport) => Promise<readonly CrashReport[]>;
}

/** Handle of a request that runs on a server. When the run ends, one of the methods is called. */
export interface RunningRequest {
  /** The response was complete. */
  markCompleted(): void;
  /** The run ended without a complete response and without a sign of a crash. */
  markEnded(): void;
  /**
   * The connection broke. If the server crashed, the promise resolves when the crash has been
   * recorded and reported to the region.
   */
  reportBroken(): Promise<void>;
}

export interface Quarantine {
  /** @throws RequestQuarantinedError when the crash score exceeds `crashLimit - 1` */
  check(fingerprint: Fingerprint, crashLimit: number): void;
  /**
   * Whether the crash score of the request is positive, because a server crashed while it ran the
   * request and the request has not completed since.
   */
  isSuspect(fingerprint: Fingerprint): boolean;
  /** Whether this entry host has a suspect running on the server. */
  hasRunningSuspect(serverId: ServerId): boolean;
  trackRequest(server: ServerView, fingerprint: Fingerprint): RunningRequest;
  /** Merges a report of a peer and returns it completed with this host's own running requests. */
  mergePeerReport(report: CrashReport): CrashReport;
}

interface Run {
  readonly fingerprint: Fingerprint;
  readonly incarnation: Incarnation;
}

/** Crash scores are sums of fractions, which rounding can leave slightly above a whole number. */
const CRASH_SCORE_TOLERANCE = 1e-9;
const UNKNOWN_INCARNATION = 'unknown' as Incarnation;

function incarnationOf(server: ServerView): Incarnation {
  return server.load?.incarnation ?? UNKNOWN_INCARNATION;
}

/** Creates the quarantine, which rejects requests that crash the servers they run on. */
export function createQuarantine(options: QuarantineOptions): Quarantine {
  const tracker = createCrashTracker(options);
  const running = new Map<ServerId, Set<Run>>();

  const isSuspect = (fingerprint: Fingerprint): boolean => tracker.crashScore(fingerprint) > 0;

  const runsOn = (serverId: ServerId): Run[] => [...(running.get(serverId) ?? [])];

  /** Adds this host's own running requests on the crashed server to a report and records it. */
  function mergeReport(report: CrashReport): CrashReport {
    const ownFingerprints = runsOn(report.serverId)
      .filter((run) => run.incarnation === report.incarnation)
      .map((run) => run.fingerprint);
    const suspects = ownFingerprints.filter(isSuspect);
    return tracker.merge({
      ...report,
      running: [...report.running, ...ownFingerprints],
      suspects: [...report.suspects, ...suspects],
    });
  }

  async function recordCrash(server: ServerView): Promise<void> {
    if (!(await options.hasCrashed(server))) {
      return;
    }
    const { serverId } = server.entry;
    const incarnation = incarnationOf(server);
    const report = mergeReport({ serverId, incarnation, running: [], suspects: [] });
    options.log.warn('server-crashed', { serverId, runningRequests: report.running.length });
    const peerReports = await options.broadcast(report);
    peerReports.forEach((peerReport) => tracker.merge(peerReport));
  }

  return {
    check(fingerprint, crashLimit) {
      const score = tracker.crashScore(fingerprint);
      if (score > crashLimit - 1 + CRASH_SCORE_TOLERANCE) {
        throw new RequestQuarantinedError(
          'The request is quarantined because it crashed backend servers.',
          { props: { retryAfterMs: options.holdMs() } },
        );
      }
    },
    isSuspect,
    hasRunningSuspect: (serverId) => runsOn(serverId).some((run) => isSuspect(run.fingerprint)),
    trackRequest(server, fingerprint) {
      const { serverId } = server.entry;
      const run: Run = { fingerprint, incarnation: incarnationOf(server) };
      const serverRuns = running.get(serverId) ?? new Set<Run>();
      running.set(serverId, serverRuns);
      serverRuns.add(run);
      const markEnded = (): void => {
        serverRuns.delete(run);
      };
      return {
        markEnded,
        markCompleted() {
          markEnded();
          tracker.clear(fingerprint);
        },
        async reportBroken() {
          try {
            await recordCrash(server);
          } finally {
            markEnded();
          }
        },
      };
    },
    mergePeerReport: mergeReport,
  };
}

import { RequestQuarantinedError } from '../errors/RequestQuarantinedError.js';
import type { Fingerprint } from '../ids/Fingerprint.js';
import type { Incarnation } from '../ids/Incarnation.js';
import type { PromptPartKey } from '../ids/PromptPartKey.js';
import type { ServerId } from '../ids/ServerId.js';
import type { Clock } from '../ports/Clock.js';
import type { LogSink } from '../ports/LogSink.js';
import type { InferenceRequest } from '../requests/InferenceRequest.js';
import type { ServerView } from '../routing/ServerView.js';
import type { CrashReport } from './CrashReport.js';
import { createCrashTracker } from './createCrashTracker.js';
import { createPartSuspicion } from './createPartSuspicion.js';

/** What identifies a request that crashes servers: itself, or a part of its prompt. */
export type SuspectableRequest = Pick<InferenceRequest, 'fingerprint' | 'sharedParts'>;

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
  /** The first event of the response arrived. */
  markStarted(): void;
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
  /**
   * @throws RequestQuarantinedError when the crash score exceeds `crashLimit - 1`, or a part of the
   *   prompt is blocked
   */
  check(request: SuspectableRequest, crashLimit: number): void;
  /**
   * Whether the crash score of the request is positive, because a server crashed while it ran the
   * request and the request has not completed since.
   */
  isSuspect(fingerprint: Fingerprint): boolean;
  /** Whether this entry host has a suspect running on the server. */
  hasRunningSuspect(serverId: ServerId): boolean;
  /** Whether another request of this entry host without a response has a suspected part of it. */
  isOnTrial(request: SuspectableRequest): boolean;
  trackRequest(server: ServerView, request: SuspectableRequest): RunningRequest;
  /** Merges a report of a peer and returns it completed with this host's own running requests. */
  mergePeerReport(report: CrashReport): CrashReport;
}

interface Run {
  readonly fingerprint: Fingerprint;
  readonly incarnation: Incarnation;
  /** Whether the request was a suspect when it was sent. */
  readonly wasSuspect: boolean;
  readonly sharedParts: readonly PromptPartKey[];
  /** Parts that were suspected when the request was sent. */
  readonly trialParts: readonly PromptPartKey[];
  isStarted: boolean;
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
  const suspicion = createPartSuspicion(options.clock);
  const running = new Map<ServerId, Set<Run>>();

  const isSuspect = (fingerprint: Fingerprint): boolean => tracker.crashScore(fingerprint) > 0;

  const runsOn = (serverId: ServerId): Run[] => [...(running.get(serverId) ?? [])];

  /** Adds this host's own running requests on the crashed server to a report and records it. */
  function mergeReport(report: CrashReport): CrashReport {
    const ownRuns = runsOn(report.serverId).filter((run) => run.incarnation === report.incarnation);
    const ownFingerprints = ownRuns.map((run) => run.fingerprint);
    const suspects = ownRuns.filter((run) => run.wasSuspect).map((run) => run.fingerprint);
    const unstarted = ownRuns.filter((run) => !run.isStarted);
    const ownParts = unstarted.flatMap((run) => run.sharedParts);
    const ownTrialParts = unstarted.flatMap((run) => run.trialParts);
    const parts = [...new Set([...(report.parts ?? []), ...ownParts])];
    const trialParts = [...new Set([...(report.trialParts ?? []), ...ownTrialParts])];
    const crashId = `${report.serverId} ${report.incarnation}`;
    suspicion.merge({ crashes: [{ crashId, ageMs: 0, parts, trialParts }], served: [] });
    return tracker.merge({
      ...report,
      running: [...report.running, ...ownFingerprints],
      suspects: [...report.suspects, ...suspects],
      parts,
      trialParts,
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
    peerReports.forEach(mergeReport);
  }

  return {
    check({ fingerprint, sharedParts }, crashLimit) {
      const blockedUntilMs = suspicion.blockedUntilMs(sharedParts);
      if (blockedUntilMs > 0) {
        throw new RequestQuarantinedError(
          'A part of the prompt is quarantined because it crashed backend servers.',
          { props: { retryAfterMs: blockedUntilMs - options.clock.monotonicMs() } },
        );
      }
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
    isOnTrial({ sharedParts }) {
      const suspects = suspicion.suspectsAmong(sharedParts);
      return (
        suspects.length > 0 &&
        [...running.values()].some((runs) =>
          [...runs].some(
            (run) => !run.isStarted && run.sharedParts.some((part) => suspects.includes(part)),
          ),
        )
      );
    },
    trackRequest(server, { fingerprint, sharedParts }) {
      const { serverId } = server.entry;
      const run: Run = {
        fingerprint,
        incarnation: incarnationOf(server),
        wasSuspect: isSuspect(fingerprint),
        sharedParts,
        trialParts: suspicion.suspectsAmong(sharedParts),
        isStarted: false,
      };
      const serverRuns = running.get(serverId) ?? new Set<Run>();
      running.set(serverId, serverRuns);
      serverRuns.add(run);
      const markEnded = (): void => {
        serverRuns.delete(run);
      };
      const markStarted = (): void => {
        run.isStarted = true;
        suspicion.recordServed(sharedParts);
      };
      return {
        markStarted,
        markEnded,
        markCompleted() {
          markStarted();
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

import { OverloadedError } from '../errors/OverloadedError.js';
import type { Clock } from '../ports/Clock.js';
import type { InferenceRequest } from '../requests/InferenceRequest.js';
import type { Rank } from '../requests/Rank.js';
import type { ServerView } from '../routing/ServerView.js';
import type { AdmissionController, AdmissionEntry, HasFreeSlot } from './AdmissionController.js';
import type { DispatchLimit } from './DispatchLimit.js';
import type { FairQueue, FairQueueEntry } from './FairQueue.js';
import type { ServiceTimeEstimate } from './ServiceTimeEstimate.js';
import { createFairQueue } from './createFairQueue.js';
import { createDispatchTimer } from './createDispatchTimer.js';
import { createServiceTimeEstimator } from './createServiceTimeEstimator.js';
import { createMinimumShareTracker } from './createMinimumShareTracker.js';

/** Tokens a customer is served per turn. */
const QUANTUM_TOKENS = 4_096;
/** docs/policy.md compares other values of these two. */
const DEFAULT_PATIENT_LIMIT_RATIO = 0.5;
const DEFAULT_MARGIN_DEVIATIONS = 2;
const MIN_RETRY_AFTER_MS = 100;
const MAX_RETRY_AFTER_MS = 60_000;

export interface RankAdmissionOptions {
  readonly clock: Clock;
  /** Servers of the region. */
  readonly servers: () => readonly ServerView[];
  readonly dispatchLimit: DispatchLimit;
  /** Part of the limit at a server that patient requests may use. @default 0.5 */
  readonly patientLimitRatio?: number;
  /** Mean deviations of the first-token time kept as a margin to its target. @default 2 */
  readonly marginDeviations?: number;
}

interface Waiting extends FairQueueEntry {
  readonly request: InferenceRequest;
  readonly retry: boolean;
  /** Time after which the request can no longer make its targets; undefined without an estimate. */
  readonly latestStartAtMs: number | undefined;
  /** Time of the whole answer at a server. */
  readonly serviceMs: number;
  /** Places the request; false when no server has room. */
  readonly start: (hasRoom: HasFreeSlot) => boolean;
  readonly refuse: (reason: string, retryAfterMs: number) => void;
}

const OTHER_RANK: Readonly<Record<Rank, Rank>> = { urgent: 'patient', patient: 'urgent' };

/**
 * Creates the admission with one queue per rank. Urgent requests go first, patient ones keep
 * their minimum share of dispatched tokens while urgent ones wait, and customers are served by
 * deficit round robin. Requests that cannot make their targets by the learned service times are
 * refused on arrival or dropped while they wait.
 */
export function createRankAdmission(options: RankAdmissionOptions): AdmissionController {
  const { clock, dispatchLimit } = options;
  const patientLimitRatio = options.patientLimitRatio ?? DEFAULT_PATIENT_LIMIT_RATIO;
  const marginDeviations = options.marginDeviations ?? DEFAULT_MARGIN_DEVIATIONS;
  const estimator = createServiceTimeEstimator(clock);
  const shareKeeper = createMinimumShareTracker();
  const queues: Readonly<Record<Rank, FairQueue<Waiting>>> = {
    urgent: createFairQueue<Waiting>(QUANTUM_TOKENS),
    patient: createFairQueue<Waiting>(QUANTUM_TOKENS),
  };
  let pumping = false;

  function serversOf({ model }: InferenceRequest): ServerView[] {
    return options
      .servers()
      .filter(({ entry, accepting }) => accepting && entry.models.includes(model));
  }

  function limitFor(server: ServerView, rank: Rank, owed: boolean): number {
    const limit = dispatchLimit(server);
    return rank === 'urgent' || owed ? limit : Math.max(1, limit * patientLimitRatio);
  }

  /**
   * Time after which a request can no longer make its targets. A retry has usually missed the
   * first-token target already, so only its deadline counts.
   */
  function latestStartOf(
    request: InferenceRequest,
    retry: boolean,
    estimate: ServiceTimeEstimate | undefined,
  ): number | undefined {
    if (estimate === undefined) {
      return undefined;
    }
    const byDeadlineMs = request.deadlineAtMs - estimate.totalMs;
    if (retry) {
      return byDeadlineMs;
    }
    const marginMs = marginDeviations * estimate.firstTokenDeviationMs;
    return Math.min(byDeadlineMs, request.firstTokenDueAtMs - estimate.firstTokenMs - marginMs);
  }

  /** Expected wait of a request behind the work that is served before it. */
  function waitMs(waiting: FairQueueEntry, request: InferenceRequest, serviceMs: number): number {
    const queue = queues[request.rank];
    const other = queues[OTHER_RANK[request.rank]];
    const places = serversOf(request).reduce(
      (sum, server) => sum + limitFor(server, request.rank, false),
      0,
    );
    const patientShare = request.settings.admission.patientMinimumShareRatio;
    const ownShare = request.rank === 'patient' ? patientShare : 1 - patientShare;
    const share = other.size() === 0 ? 1 : Math.max(ownShare, Number.EPSILON);
    const costAhead = queue.costUpTo(waiting) - waiting.cost;
    // Work ahead is taken to need as much time per token as this request.
    const msPerToken = serviceMs / Math.max(1, waiting.cost);
    return (costAhead * msPerToken) / Math.max(1, places) / share;
  }

  function dropLate(): void {
    const nowMs = clock.monotonicMs();
    Object.values(queues).forEach((queue) => {
      queue
        .entries()
        .filter(({ latestStartAtMs }) => latestStartAtMs !== undefined && latestStartAtMs < nowMs)
        .forEach((waiting) => {
          queue.remove(waiting);
          waiting.refuse(
            'The request could no longer make its targets.',
            waitMs(waiting, waiting.request, waiting.serviceMs),
          );
        });
    });
  }

  /** Dispatches one request of a rank; false when none finds a place. */
  function dispatch(rank: Rank, owed: boolean): boolean {
    const blockedModels = new Set<string>();
    const hasRoom: HasFreeSlot = (server) =>
      server.ownInFlightRequests < limitFor(server, rank, owed);
    const taken = queues[rank].dequeue(
      ({ request, retry }) => retry || !blockedModels.has(request.model),
      (waiting) => {
        const started = waiting.start(hasRoom);
        if (!started && !waiting.retry) {
          blockedModels.add(waiting.request.model);
        }
        return started;
      },
    );
    if (taken !== undefined) {
      const { patientMinimumShareRatio } = taken.request.settings.admission;
      const patientWaits = rank === 'patient' || queues.patient.size() > 0;
      shareKeeper.recordDispatch(rank, taken.cost, patientWaits, patientMinimumShareRatio);
    }
    return taken !== undefined;
  }

  function dispatchNext(): boolean {
    if (
      queues.patient.size() > 0 &&
      shareKeeper.mustDispatchPatient() &&
      dispatch('patient', true)
    ) {
      return true;
    }
    return dispatch('urgent', false) || dispatch('patient', false);
  }

  function pump(): void {
    if (pumping) {
      return;
    }
    pumping = true;
    dropLate();
    while (dispatchNext()) {
      // Continues until nothing that waits finds a place.
    }
    pumping = false;
  }

  const queuedRequests = (): number => queues.urgent.size() + queues.patient.size();
  const timer = createDispatchTimer(clock, pump, () => queuedRequests() > 0);

  function enqueue(waiting: Waiting): void {
    const { request } = waiting;
    const { maxQueuedRequests, maxQueuedTokens } = request.settings.admission;
    const bounds = { maxEntries: maxQueuedRequests, maxCost: maxQueuedTokens };
    queues[request.rank].enqueue(waiting, bounds, waiting.retry).forEach((evicted) => {
      const retryAfterMs = waitMs(evicted, evicted.request, evicted.serviceMs);
      evicted.refuse('The queue is full.', retryAfterMs);
    });
    pump();
    timer.ensureRunning();
  }

  return {
    admit<Placement>(entry: AdmissionEntry<Placement>, signal: AbortSignal) {
      const { request } = entry;
      return new Promise<Placement>((resolve, reject) => {
        if (signal.aborted) {
          reject(signal.reason);
          return;
        }
        const serverIds = serversOf(request).map((server) => server.entry.serverId);
        const estimate = estimator.estimate(request, serverIds);
        const serviceMs = estimate?.totalMs ?? 0;
        let onAbort = (): void => undefined;
        const settle = (action: () => void): void => {
          signal.removeEventListener('abort', onAbort);
          action();
        };
        const refuse = (reason: string, waitedForMs: number): void => {
          const retryAfterMs = Math.ceil(
            Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitedForMs)),
          );
          settle(() => reject(new OverloadedError(reason, { props: { retryAfterMs } })));
        };
        const waiting: Waiting = {
          request,
          retry: entry.retry,
          customerId: request.customerId,
          cost: request.promptTokens + request.maxOutputTokens,
          latestStartAtMs: latestStartOf(request, entry.retry, estimate),
          serviceMs,
          start(hasRoom) {
            try {
              const placement = entry.reserveSlot(hasRoom);
              if (placement === undefined) {
                return false;
              }
              settle(() => resolve(placement));
            } catch (error) {
              settle(() => reject(error));
            }
            return true;
          },
          refuse,
        };
        onAbort = () => {
          queues[request.rank].remove(waiting);
          reject(signal.reason);
        };
        signal.addEventListener('abort', onAbort, { once: true });
        const expectedWaitMs = waitMs(waiting, request, serviceMs);
        const { latestStartAtMs } = waiting;
        if (
          latestStartAtMs !== undefined &&
          clock.monotonicMs() + expectedWaitMs > latestStartAtMs
        ) {
          refuse('The request cannot make its targets.', expectedWaitMs);
          return;
        }
        enqueue(waiting);
      });
    },
    onSlotReleased: pump,
    observe: estimator.observe,
    queuedRequests,
  };
}

import { OverloadedError } from '../errors/OverloadedError.js';
import type { Clock } from '../ports/Clock.js';
import type { InferenceRequest } from '../requests/InferenceRequest.js';
import type { Rank } from '../requests/Rank.js';
import type { ServerView } from '../routing/ServerView.js';
import type { AdmissionController, AdmissionEntry, HasFreeSlot } from './AdmissionController.js';
import type { DispatchLimit } from './DispatchLimit.js';
import type { FairQueue, FairQueueEntry } from './FairQueue.js';
import type { ServiceTimeEstimate } from './ServiceTimeEstimate.js';
import { createDispatchTimer } from './createDispatchTimer.js';
import { createFairQueue } from './createFairQueue.js';
import { createMinimumShareTracker } from './createMinimumShareTracker.js';
import { createServiceTimeEstimator } from './createServiceTimeEstimator.js';

/** Tokens credited to a customer per turn. */
const QUANTUM_TOKENS = 4_096;
/** docs/policy.md compares other values of the following two constants. */
const DEFAULT_PATIENT_LIMIT_RATIO = 0.5;
const DEFAULT_MARGIN_DEVIATIONS = 2;
const MIN_RETRY_AFTER_MS = 100;
const MAX_RETRY_AFTER_MS = 60_000;

export interface RankAdmissionOptions {
  readonly clock: Clock;
  /** Servers of the region. */
  readonly servers: () => readonly ServerView[];
  readonly dispatchLimit: DispatchLimit;
  /** Share of the dispatch limit of a server that patient requests may use. @default 0.5 */
  readonly patientLimitRatio?: number;
  /** Safety margin before the first-token target, in mean absolute deviations. @default 2 */
  readonly marginDeviations?: number;
}

interface WaitingRequest extends FairQueueEntry {
  readonly request: InferenceRequest;
  readonly retry: boolean;
  /** Latest dispatch time that still meets the targets; undefined without an estimate. */
  readonly latestStartAtMs: number | undefined;
  /** Expected time from dispatch to the end of the response. */
  readonly serviceMs: number;
  /** Reserves a slot for the request; returns false when no server has a free slot. */
  readonly tryDispatch: (hasFreeSlot: HasFreeSlot) => boolean;
  readonly rejectOverloaded: (reason: string, retryAfterMs: number) => void;
}

const OTHER_RANK: Readonly<Record<Rank, Rank>> = { urgent: 'patient', patient: 'urgent' };

/**
 * Creates the admission controller with one queue per rank. Urgent requests are dispatched first.
 * Patient requests keep a minimum share of the dispatched tokens, also while urgent requests wait.
 * Customers are served by deficit round robin. A request that cannot meet its targets according to
 * the estimated service times is rejected on arrival or evicted while it waits.
 */
export function createRankAdmission(options: RankAdmissionOptions): AdmissionController {
  const { clock, dispatchLimit } = options;
  const patientLimitRatio = options.patientLimitRatio ?? DEFAULT_PATIENT_LIMIT_RATIO;
  const marginDeviations = options.marginDeviations ?? DEFAULT_MARGIN_DEVIATIONS;
  const estimator = createServiceTimeEstimator(clock);
  const minimumShare = createMinimumShareTracker();
  const queues: Readonly<Record<Rank, FairQueue<WaitingRequest>>> = {
    urgent: createFairQueue<WaitingRequest>(QUANTUM_TOKENS),
    patient: createFairQueue<WaitingRequest>(QUANTUM_TOKENS),
  };
  let isDispatching = false;

  function serversOf({ model }: InferenceRequest): ServerView[] {
    return options
      .servers()
      .filter(({ entry, accepting }) => accepting && entry.models.includes(model));
  }

  function limitFor(server: ServerView, rank: Rank, useFullLimit: boolean): number {
    const limit = dispatchLimit(server);
    return rank === 'urgent' || useFullLimit ? limit : Math.max(1, limit * patientLimitRatio);
  }

  /**
   * Latest dispatch time that still meets the targets of a request. A retry has usually missed its
   * first-token target already, so only its deadline is considered.
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

  /** Expected time that a request waits for the requests that are served before it. */
  function estimateWaitMs(
    entry: FairQueueEntry,
    request: InferenceRequest,
    serviceMs: number,
  ): number {
    const queue = queues[request.rank];
    const other = queues[OTHER_RANK[request.rank]];
    const slots = serversOf(request).reduce(
      (sum, server) => sum + limitFor(server, request.rank, false),
      0,
    );
    const patientShareRatio = request.settings.admission.patientMinimumShareRatio;
    const ownShareRatio = request.rank === 'patient' ? patientShareRatio : 1 - patientShareRatio;
    const shareRatio = other.size() === 0 ? 1 : Math.max(ownShareRatio, Number.EPSILON);
    const costAhead = queue.costUpTo(entry) - entry.cost;
    // Assumes that the requests ahead need as much time per token as this request.
    const msPerToken = serviceMs / Math.max(1, entry.cost);
    return (costAhead * msPerToken) / Math.max(1, slots) / shareRatio;
  }

  function evictLateRequests(): void {
    const nowMs = clock.monotonicMs();
    Object.values(queues).forEach((queue) => {
      queue
        .entries()
        .filter(({ latestStartAtMs }) => latestStartAtMs !== undefined && latestStartAtMs < nowMs)
        .forEach((waiting) => {
          queue.remove(waiting);
          waiting.rejectOverloaded(
            'The request can no longer meet its latency target or deadline.',
            estimateWaitMs(waiting, waiting.request, waiting.serviceMs),
          );
        });
    });
  }

  /** Dispatches one request of a rank; returns false when none can be dispatched. */
  function dispatch(rank: Rank, useFullLimit: boolean): boolean {
    const blockedModels = new Set<string>();
    const hasFreeSlot: HasFreeSlot = (server) =>
      server.ownInFlightRequests < limitFor(server, rank, useFullLimit);
    const dispatched = queues[rank].dequeue(
      ({ request, retry }) => retry || !blockedModels.has(request.model),
      (waiting) => {
        const isDispatched = waiting.tryDispatch(hasFreeSlot);
        if (!isDispatched && !waiting.retry) {
          blockedModels.add(waiting.request.model);
        }
        return isDispatched;
      },
    );
    if (dispatched !== undefined) {
      const { patientMinimumShareRatio } = dispatched.request.settings.admission;
      const isPatientWaiting = rank === 'patient' || queues.patient.size() > 0;
      minimumShare.recordDispatch(
        rank,
        dispatched.cost,
        isPatientWaiting,
        patientMinimumShareRatio,
      );
    }
    return dispatched !== undefined;
  }

  function dispatchNext(): boolean {
    if (
      queues.patient.size() > 0 &&
      minimumShare.mustDispatchPatient() &&
      dispatch('patient', true)
    ) {
      return true;
    }
    return dispatch('urgent', false) || dispatch('patient', false);
  }

  function dispatchWaiting(): void {
    if (isDispatching) {
      return;
    }
    isDispatching = true;
    evictLateRequests();
    while (dispatchNext()) {
      // Continues until no waiting request can be dispatched.
    }
    isDispatching = false;
  }

  const queuedRequests = (): number => queues.urgent.size() + queues.patient.size();
  const timer = createDispatchTimer(clock, dispatchWaiting, () => queuedRequests() > 0);

  function enqueue(waiting: WaitingRequest): void {
    const { request } = waiting;
    const { maxQueuedRequests, maxQueuedTokens } = request.settings.admission;
    const bounds = { maxEntries: maxQueuedRequests, maxCost: maxQueuedTokens };
    queues[request.rank].enqueue(waiting, bounds, waiting.retry).forEach((evicted) => {
      const retryAfterMs = estimateWaitMs(evicted, evicted.request, evicted.serviceMs);
      evicted.rejectOverloaded('The admission queue is full.', retryAfterMs);
    });
    dispatchWaiting();
    timer.ensureRunning();
  }

  return {
    admit<Slot>(entry: AdmissionEntry<Slot>, signal: AbortSignal) {
      const { request } = entry;
      return new Promise<Slot>((resolve, reject) => {
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
        const rejectOverloaded = (reason: string, expectedWaitMs: number): void => {
          const retryAfterMs = Math.ceil(
            Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, expectedWaitMs)),
          );
          settle(() => reject(new OverloadedError(reason, { props: { retryAfterMs } })));
        };
        const waiting: WaitingRequest = {
          request,
          retry: entry.retry,
          customerId: request.customerId,
          cost: request.promptTokens + request.maxOutputTokens,
          latestStartAtMs: latestStartOf(request, entry.retry, estimate),
          serviceMs,
          tryDispatch(hasFreeSlot) {
            try {
              const slot = entry.reserveSlot(hasFreeSlot);
              if (slot === undefined) {
                return false;
              }
              settle(() => resolve(slot));
            } catch (error) {
              settle(() => reject(error));
            }
            return true;
          },
          rejectOverloaded,
        };
        onAbort = () => {
          queues[request.rank].remove(waiting);
          reject(signal.reason);
        };
        signal.addEventListener('abort', onAbort, { once: true });
        const expectedWaitMs = estimateWaitMs(waiting, request, serviceMs);
        const { latestStartAtMs } = waiting;
        if (
          latestStartAtMs !== undefined &&
          clock.monotonicMs() + expectedWaitMs > latestStartAtMs
        ) {
          rejectOverloaded(
            'The request cannot meet its latency target or deadline.',
            expectedWaitMs,
          );
          return;
        }
        enqueue(waiting);
      });
    },
    onSlotReleased: dispatchWaiting,
    observe: estimator.observe,
    queuedRequests,
  };
}

import type { ServerId } from '../ids/ServerId.js';
import type { InferenceRequest } from '../requests/InferenceRequest.js';
import type { Rank } from '../requests/Rank.js';
import type { RouteContext } from './RouteChooser.js';
import type { ServerView } from './ServerView.js';
import type { ServerRates } from './createServerRates.js';

export interface EstimateContext extends Pick<RouteContext, 'nowMs' | 'entryHostCount'> {
  /** Rank of the request; engines start urgent requests and prefill their prompts first. */
  readonly rank: Rank;
}

/** Estimates the time to the first token (docs/routing.md). */
export interface FirstTokenEstimator {
  /**
   * Expected wait for a batch slot and for the prefill of prompts that this entry host sent before.
   *
   * @param capacityRatio usable share of the batch slots; less than 1 while the server warms up
   */
  queueMs(server: ServerView, context: EstimateContext, capacityRatio?: number): number;
  /** Expected prefill time of the part of the prompt that is not cached. */
  prefillMs(request: InferenceRequest, server: ServerView, cachedTokens: number): number;
  /** Records that a request is being sent to a server. */
  recordDispatch(server: ServerView, prefillMs: number, context: EstimateContext): void;
}

interface DispatchedWork {
  /** Arrival time of the load report from which `requestsSinceReport` counts. */
  reportAtMs: number;
  requestsSinceReport: number;
  /** Expected end of the prefill of all prompts that this entry host has sent, by rank. */
  readonly prefillUntilMs: Record<Rank, number>;
}

/**
 * Assumed share of the reported waiting requests that start before a new request of each rank. Load
 * reports do not distinguish ranks.
 */
const WAITING_AHEAD_RATIO: Readonly<Record<Rank, number>> = { urgent: 0.3, patient: 1 };
const DEFAULT_CONCURRENT_REQUESTS = 8;
const MAX_SERVERS = 8_192;

/**
 * Creates the estimator, based on the learned server rates and this entry host's own dispatches.
 */
export function createFirstTokenEstimator(rates: ServerRates): FirstTokenEstimator {
  const workByServer = new Map<ServerId, DispatchedWork>();

  function workOf(server: ServerView): DispatchedWork {
    const { serverId } = server.entry;
    const existing = workByServer.get(serverId);
    const work =
      existing?.reportAtMs === server.loadAtMs
        ? existing
        : {
            reportAtMs: server.loadAtMs,
            requestsSinceReport: 0,
            prefillUntilMs: existing?.prefillUntilMs ?? { urgent: 0, patient: 0 },
          };
    return work;
  }

  /**
   * Estimated requests at the server that a new request competes with: the latest load report plus
   * those sent since by all entry hosts, extrapolated from this one.
   */
  function requestsAtServer(server: ServerView, { entryHostCount, rank }: EstimateContext): number {
    const { load, ownInFlightRequests } = server;
    const waiting = (load?.waitingRequests ?? 0) * WAITING_AHEAD_RATIO[rank];
    const reported = (load?.runningRequests ?? 0) + waiting;
    const sinceReport = workOf(server).requestsSinceReport * Math.max(1, entryHostCount);
    return rank === 'urgent'
      ? reported + sinceReport
      : Math.max(reported + sinceReport, ownInFlightRequests);
  }

  return {
    queueMs(server, context, capacityRatio = 1) {
      const { serverId } = server.entry;
      const slots = server.load?.maxConcurrentRequests ?? DEFAULT_CONCURRENT_REQUESTS;
      const usableSlots = Math.max(1, slots * capacityRatio);
      const requestsAhead = requestsAtServer(server, context) - usableSlots + 1;
      const slotWaitMs =
        requestsAhead <= 0 ? 0 : (requestsAhead * rates.rateOf(serverId).serviceMs) / usableSlots;
      const { urgent, patient } = workOf(server).prefillUntilMs;
      const prefillUntilMs = context.rank === 'urgent' ? urgent : Math.max(urgent, patient);
      return slotWaitMs + Math.max(0, prefillUntilMs - context.nowMs);
    },
    prefillMs(request, server, cachedTokens) {
      const { prefillMsPerToken, cacheSavingsRatio } = rates.rateOf(server.entry.serverId);
      const cached = Math.min(request.promptTokens, cachedTokens * cacheSavingsRatio);
      return (request.promptTokens - cached) * prefillMsPerToken;
    },
    recordDispatch(server, prefillMs, { nowMs, rank }) {
      const { serverId } = server.entry;
      const work = workOf(server);
      work.requestsSinceReport += 1;
      const { prefillUntilMs } = work;
      prefillUntilMs[rank] = Math.max(nowMs, prefillUntilMs[rank]) + prefillMs;
      workByServer.delete(serverId);
      workByServer.set(serverId, work);
      const [oldest] = workByServer.keys();
      if (workByServer.size > MAX_SERVERS && oldest !== undefined) {
        workByServer.delete(oldest);
      }
    },
  };
}

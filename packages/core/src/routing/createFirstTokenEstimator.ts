import type { ServerId } from '../ids/ServerId.js';
import type { InferenceRequest } from '../requests/InferenceRequest.js';
import type { Rank } from '../requests/Rank.js';
import type { RouteContext } from './RouteChooser.js';
import type { ServerView } from './ServerView.js';
import type { ServerRates } from './createServerRates.js';

export interface EstimateContext extends Pick<RouteContext, 'nowMs' | 'entryHostCount'> {
  /** Rank of the waiting request; engines start urgent requests and read their prompts first. */
  readonly rank: Rank;
}

/** Estimates of the time to the first token (docs/routing.md). */
export interface FirstTokenEstimator {
  /**
   * Expected wait for a place in the batch and for own prompts sent before.
   *
   * @param capacityRatio share of the batch that may be used, less than 1 while a server warms up
   */
  queueMs(server: ServerView, context: EstimateContext, capacityRatio?: number): number;
  /** Expected time to read the part of the prompt that is not cached. */
  prefillMs(request: InferenceRequest, server: ServerView, cachedTokens: number): number;
  /** Counts a request that is being sent to a server. */
  recordDispatch(server: ServerView, prefillMs: number, context: EstimateContext): void;
}

interface OwnWork {
  /** Arrival of the load report the count starts from. */
  reportAtMs: number;
  requestsSinceReport: number;
  /** Time at which the prompts this entry host sent will have been read, by rank. */
  readonly prefillUntilMs: Record<Rank, number>;
}

/** Share of the reported waiting requests that start before a new one; reports have no ranks. */
const WAITING_AHEAD_RATIO: Readonly<Record<Rank, number>> = { urgent: 0.3, patient: 1 };
const DEFAULT_CONCURRENT_REQUESTS = 8;
const MAX_SERVERS = 8_192;

/** Creates the estimator over the learned rates and this entry host's own dispatches. */
export function createFirstTokenEstimator(rates: ServerRates): FirstTokenEstimator {
  const works = new Map<ServerId, OwnWork>();

  function workOf(server: ServerView): OwnWork {
    const { serverId } = server.entry;
    const known = works.get(serverId);
    const work =
      known?.reportAtMs === server.loadAtMs
        ? known
        : {
            reportAtMs: server.loadAtMs,
            requestsSinceReport: 0,
            prefillUntilMs: known?.prefillUntilMs ?? { urgent: 0, patient: 0 },
          };
    return work;
  }

  /** Requests at the server: the last report, plus what all entry hosts have sent since. */
  function occupied(server: ServerView, { entryHostCount, rank }: EstimateContext): number {
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
      const places = server.load?.maxConcurrentRequests ?? DEFAULT_CONCURRENT_REQUESTS;
      const usable = Math.max(1, places * capacityRatio);
      const ahead = occupied(server, context) - usable + 1;
      const placeMs = ahead <= 0 ? 0 : (ahead * rates.rateOf(serverId).serviceMs) / usable;
      const { urgent, patient } = workOf(server).prefillUntilMs;
      const prefillUntilMs = context.rank === 'urgent' ? urgent : Math.max(urgent, patient);
      return placeMs + Math.max(0, prefillUntilMs - context.nowMs);
    },
    prefillMs(request, server, cachedTokens) {
      const { prefillMsPerToken, cacheSavingsRatio: cacheTrustRatio } = rates.rateOf(
        server.entry.serverId,
      );
      const cached = Math.min(request.promptTokens, cachedTokens * cacheTrustRatio);
      return (request.promptTokens - cached) * prefillMsPerToken;
    },
    recordDispatch(server, prefillMs, { nowMs, rank }) {
      const { serverId } = server.entry;
      const work = workOf(server);
      work.requestsSinceReport += 1;
      const { prefillUntilMs } = work;
      prefillUntilMs[rank] = Math.max(nowMs, prefillUntilMs[rank]) + prefillMs;
      works.delete(serverId);
      works.set(serverId, work);
      const [oldest] = works.keys();
      if (works.size > MAX_SERVERS && oldest !== undefined) {
        works.delete(oldest);
      }
    },
  };
}

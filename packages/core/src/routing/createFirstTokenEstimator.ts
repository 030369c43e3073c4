import type { ServerId } from '../ids/ServerId.js';
import type { InferenceRequest } from '../requests/InferenceRequest.js';
import type { RouteContext } from './RouteChooser.js';
import type { ServerView } from './ServerView.js';
import type { ServerRates } from './createServerRates.js';

export type EstimateContext = Pick<RouteContext, 'nowMs' | 'entryHostCount'>;

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
  dispatched(serverId: ServerId, prefillMs: number, server: ServerView, nowMs: number): void;
}

interface OwnWork {
  /** Arrival of the load report the count starts from. */
  reportAtMs: number;
  requestsSinceReport: number;
  /** Time at which the prompts this entry host sent will have been read. */
  prefillUntilMs: number;
}

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
            prefillUntilMs: known?.prefillUntilMs ?? 0,
          };
    return work;
  }

  /** Requests at the server: the last report, plus what all entry hosts have sent since. */
  function occupied(server: ServerView, { entryHostCount }: EstimateContext): number {
    const { load, ownInFlightRequests } = server;
    const reported = (load?.runningRequests ?? 0) + (load?.waitingRequests ?? 0);
    const sinceReport = workOf(server).requestsSinceReport * Math.max(1, entryHostCount);
    return Math.max(reported + sinceReport, ownInFlightRequests);
  }

  return {
    queueMs(server, context, capacityRatio = 1) {
      const { serverId } = server.entry;
      const places = server.load?.maxConcurrentRequests ?? DEFAULT_CONCURRENT_REQUESTS;
      const usable = Math.max(1, places * capacityRatio);
      const ahead = occupied(server, context) - usable + 1;
      const placeMs = ahead <= 0 ? 0 : (ahead * rates.of(serverId).serviceMs) / usable;
      return placeMs + Math.max(0, workOf(server).prefillUntilMs - context.nowMs);
    },
    prefillMs(request, server, cachedTokens) {
      const { prefillMsPerToken, cacheTrustRatio } = rates.of(server.entry.serverId);
      const cached = Math.min(request.promptTokens, cachedTokens * cacheTrustRatio);
      return (request.promptTokens - cached) * prefillMsPerToken;
    },
    dispatched(serverId, prefillMs, server, nowMs) {
      const work = workOf(server);
      work.requestsSinceReport += 1;
      work.prefillUntilMs = Math.max(nowMs, work.prefillUntilMs) + prefillMs;
      works.delete(serverId);
      works.set(serverId, work);
      const [oldest] = works.keys();
      if (works.size > MAX_SERVERS && oldest !== undefined) {
        works.delete(oldest);
      }
    },
  };
}

import type { InferenceRequest } from '../../requests/InferenceRequest.js';
import type { ServerView } from '../ServerView.js';
import type { EstimateContext, FirstTokenEstimator } from '../createFirstTokenEstimator.js';
import type { LocalEstimate } from './SpillPolicy.js';

export interface LocalEstimateInput {
  readonly request: InferenceRequest;
  readonly servers: readonly ServerView[];
  readonly estimator: Pick<FirstTokenEstimator, 'queueMs' | 'prefillMs'>;
  readonly context: Omit<EstimateContext, 'rank'>;
  readonly cachedTokens: (server: ServerView) => number;
  /** Wait in this entry host's own queue, and beyond the estimates. */
  readonly ownQueueMs: number;
}

/** Estimates the first token of a request in the own region. */
export function createLocalEstimate(facts: LocalEstimateInput): LocalEstimate {
  const { request, estimator } = facts;
  const context = { ...facts.context, rank: request.rank };
  const servers = facts.servers.filter(
    ({ entry, accepting }) =>
      accepting && entry.kind === 'engine' && entry.models.includes(request.model),
  );
  const leastOf = (pick: (server: ServerView) => number): number => Math.min(...servers.map(pick));
  const sumOf = (pick: (server: ServerView) => number): number =>
    servers.reduce((total, server) => total + pick(server), 0);
  const firstTokenMs = leastOf(
    (server) =>
      estimator.queueMs(server, context) +
      estimator.prefillMs(request, server, facts.cachedTokens(server)),
  );
  const uncachedPrefillMs = leastOf((server) => estimator.prefillMs(request, server, 0));
  return {
    firstTokenMs: firstTokenMs + facts.ownQueueMs,
    // Without an own server the time to read the prompt is unknown and the same everywhere else.
    uncachedPrefillMs: servers.length === 0 ? 0 : uncachedPrefillMs,
    inUse: sumOf(({ load }) => (load?.runningRequests ?? 0) + (load?.waitingRequests ?? 0)),
    capacity: sumOf(({ load }) => load?.maxConcurrentRequests ?? 0),
  };
}

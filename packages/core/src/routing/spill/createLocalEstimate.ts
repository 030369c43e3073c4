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
  /** Wait in this entry host's own queue plus the correction of the estimates. */
  readonly ownQueueMs: number;
}

/** Estimates the time to the first token of a request in its own region. */
export function createLocalEstimate(input: LocalEstimateInput): LocalEstimate {
  const { request, estimator } = input;
  const context = { ...input.context, rank: request.rank };
  const servers = input.servers.filter(
    ({ entry, accepting }) =>
      accepting && entry.kind === 'engine' && entry.models.includes(request.model),
  );
  const leastOf = (pick: (server: ServerView) => number): number => Math.min(...servers.map(pick));
  const sumOf = (pick: (server: ServerView) => number): number =>
    servers.reduce((total, server) => total + pick(server), 0);
  const firstTokenMs = leastOf(
    (server) =>
      estimator.queueMs(server, context) +
      estimator.prefillMs(request, server, input.cachedTokens(server)),
  );
  const uncachedPrefillMs = leastOf((server) => estimator.prefillMs(request, server, 0));
  return {
    firstTokenMs: firstTokenMs + input.ownQueueMs,
    // Without a local server the prefill time is unknown, and assumed equal in all other regions.
    uncachedPrefillMs: servers.length === 0 ? 0 : uncachedPrefillMs,
    inUse: sumOf(({ load }) => (load?.runningRequests ?? 0) + (load?.waitingRequests ?? 0)),
    capacity: sumOf(({ load }) => load?.maxConcurrentRequests ?? 0),
  };
}

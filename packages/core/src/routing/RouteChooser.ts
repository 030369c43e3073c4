import type { InferenceRequest } from '../requests/InferenceRequest.js';
import type { RandomSource } from '../ports/RandomSource.js';
import type { ServerView } from './ServerView.js';

export interface RouteContext {
  readonly nowMs: number;
  readonly random: RandomSource;
  /** Number of entry hosts that send requests to the same servers, including this one. */
  readonly entryHostCount: number;
  /** Expected number of the request's prompt tokens in a server's prefix cache. */
  readonly cachedTokens: (server: ServerView) => number;
}

/**
 * Chooses one of the candidates, which all accept requests and serve the model. Returns undefined
 * without candidates.
 */
export type RouteChooser = (
  request: InferenceRequest,
  candidates: readonly ServerView[],
  context: RouteContext,
) => ServerView | undefined;

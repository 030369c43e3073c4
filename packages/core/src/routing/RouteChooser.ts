import type { InferenceRequest } from '../requests/InferenceRequest.js';
import type { RandomSource } from '../ports/RandomSource.js';
import type { ServerView } from './ServerView.js';

export interface RouteContext {
  readonly nowMs: number;
  readonly random: RandomSource;
  /** Entry hosts of the region that send work to the same servers, this one included. */
  readonly entryHostCount: number;
  /** Prompt tokens that a server is believed to hold in its prefix cache. */
  readonly cachedTokens: (server: ServerView) => number;
}

/** Picks one of the candidates, which all accept work and serve the model; undefined for none. */
export type RouteChooser = (
  request: InferenceRequest,
  candidates: readonly ServerView[],
  context: RouteContext,
) => ServerView | undefined;

import type { RandomSource } from '../ports/RandomSource.js';
import type { RouteChooser } from './RouteChooser.js';
import type { ServerView } from './ServerView.js';
import type { FirstTokenEstimator } from './createFirstTokenEstimator.js';
import { createWarmUpTracker } from './createWarmUpTracker.js';

interface ScoredServer {
  readonly server: ServerView;
  readonly prefillMs: number;
  readonly scoreMs: number;
}

/** Candidates within the larger of these two margins of the best score count as equivalent. */
const EQUIVALENT_MARGIN_MS = 10;
const EQUIVALENT_MARGIN_RATIO = 0.1;

function pickTwoAtRandom(
  scored: readonly ScoredServer[],
  random: RandomSource,
): readonly ScoredServer[] {
  const first = Math.floor(random.next() * scored.length);
  const step = 1 + Math.floor(random.next() * Math.max(1, scored.length - 1));
  return [first, (first + step) % scored.length].flatMap((index) => scored[index] ?? []);
}

function lowestScore(scored: readonly ScoredServer[]): ScoredServer | undefined {
  return scored.reduce<ScoredServer | undefined>(
    (best, next) => (best === undefined || next.scoreMs < best.scoreMs ? next : best),
    undefined,
  );
}

/**
 * Creates the chooser that minimizes the estimated time to the first token: queueing plus prefill
 * of the uncached part of the prompt. It compares two random candidates among the equivalent ones,
 * so that entry hosts with the same load reports do not all choose the same server.
 */
export function createFirstTokenChooser(estimator: FirstTokenEstimator): RouteChooser {
  const warmUpTracker = createWarmUpTracker();

  return (request, candidates, context) => {
    const { nowMs, random } = context;
    const estimateContext = { ...context, rank: request.rank };
    const ratios = candidates.map((server) => warmUpTracker.capacityRatio(server, nowMs));
    const anyWarm = ratios.some((ratio) => ratio === 1);
    const scored = candidates.map((server, index): ScoredServer => {
      const prefillMs = estimator.prefillMs(request, server, context.cachedTokens(server));
      // While all candidates warm up, reduced capacities would only distort the comparison.
      const queueMs = estimator.queueMs(server, estimateContext, anyWarm ? ratios[index] : 1);
      return { server, prefillMs, scoreMs: queueMs + prefillMs };
    });
    const best = lowestScore(scored);
    if (best === undefined) {
      return undefined;
    }
    const limitMs =
      best.scoreMs + Math.max(EQUIVALENT_MARGIN_MS, best.scoreMs * EQUIVALENT_MARGIN_RATIO);
    const equivalent = scored.filter(({ scoreMs }) => scoreMs <= limitMs);
    const chosen = lowestScore(pickTwoAtRandom(equivalent, random)) ?? best;
    estimator.recordDispatch(chosen.server, chosen.prefillMs, estimateContext);
    return chosen.server;
  };
}

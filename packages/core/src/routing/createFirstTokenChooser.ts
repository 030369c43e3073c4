import type { RandomSource } from '../ports/RandomSource.js';
import type { RouteChooser } from './RouteChooser.js';
import type { ServerView } from './ServerView.js';
import type { FirstTokenEstimator } from './createFirstTokenEstimator.js';
import { createWarmUpTracker } from './createWarmUpTracker.js';

interface Scored {
  readonly server: ServerView;
  readonly prefillMs: number;
  readonly scoreMs: number;
}

/** Candidates within this margin of the best, the larger of both, count as equal. */
const NEAR_MS = 10;
const NEAR_RATIO = 0.1;

function pickDistinct(scored: readonly Scored[], random: RandomSource): readonly Scored[] {
  const first = Math.floor(random.next() * scored.length);
  const step = 1 + Math.floor(random.next() * Math.max(1, scored.length - 1));
  return [first, (first + step) % scored.length].flatMap((index) => scored[index] ?? []);
}

function leastOf(scored: readonly Scored[]): Scored | undefined {
  return scored.reduce<Scored | undefined>(
    (best, one) => (best === undefined || one.scoreMs < best.scoreMs ? one : best),
    undefined,
  );
}

/**
 * Creates the chooser by estimated time to the first token: queueing plus prefill of the uncached
 * part of the prompt. Two random ones of the nearly equal candidates are compared, so that entry
 * hosts with the same reports do not all choose the same server.
 */
export function createFirstTokenChooser(estimator: FirstTokenEstimator): RouteChooser {
  const warmth = createWarmUpTracker();

  return (request, candidates, context) => {
    const { nowMs, random } = context;
    const estimate = { ...context, rank: request.rank };
    const ratios = candidates.map((server) => warmth.capacityRatio(server, nowMs));
    const someWarm = ratios.some((ratio) => ratio === 1);
    const scored = candidates.map((server, index): Scored => {
      const prefillMs = estimator.prefillMs(request, server, context.cachedTokens(server));
      // While every candidate is cold, limiting them would only distort the comparison.
      const queueMs = estimator.queueMs(server, estimate, someWarm ? ratios[index] : 1);
      return { server, prefillMs, scoreMs: queueMs + prefillMs };
    });
    const best = leastOf(scored);
    if (best === undefined) {
      return undefined;
    }
    const limitMs = best.scoreMs + Math.max(NEAR_MS, best.scoreMs * NEAR_RATIO);
    const near = scored.filter(({ scoreMs }) => scoreMs <= limitMs);
    const chosen = leastOf(pickDistinct(near, random)) ?? best;
    estimator.recordDispatch(chosen.server, chosen.prefillMs, estimate);
    return chosen.server;
  };
}

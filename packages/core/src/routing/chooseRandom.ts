import type { RouteChooser } from './RouteChooser.js';

/** Baseline: a uniformly random server. */
export const chooseRandom: RouteChooser = (_request, candidates, { random }) =>
  candidates[Math.floor(random.next() * candidates.length)];

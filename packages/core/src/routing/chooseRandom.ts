import type { RouteChooser } from './RouteChooser.js';

/** Baseline: chooses a server uniformly at random. */
export const chooseRandom: RouteChooser = (_request, candidates, { random }) =>
  candidates[Math.floor(random.next() * candidates.length)];

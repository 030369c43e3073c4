import type { RouteChooser } from './RouteChooser.js';

/** Baseline: chooses the candidates in turn, regardless of their load. */
export function createRoundRobinChooser(): RouteChooser {
  let turn = -1;
  return (_request, candidates) => {
    turn += 1;
    return candidates[turn % Math.max(1, candidates.length)];
  };
}

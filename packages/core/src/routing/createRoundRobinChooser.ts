import type { RouteChooser } from './RouteChooser.js';

/** Baseline: the candidates in turn, whatever their load. */
export function createRoundRobinChooser(): RouteChooser {
  let turn = -1;
  return (_request, candidates) => {
    turn += 1;
    return candidates[turn % Math.max(1, candidates.length)];
  };
}

import {
  chooseLeastLoaded,
  chooseRandom,
  createFirstTokenChooser,
  createRoundRobinChooser,
  neverSpill,
  spillToLeastLoaded,
  spillWhenItPays,
} from '@camphorbarrow/core';
import type { FirstTokenEstimator, RouteChooser, SpillPolicy } from '@camphorbarrow/core';

/** Route choosers by name; a factory is called once per entry host. */
export const routeFactories: Readonly<
  Record<string, (estimator: FirstTokenEstimator) => RouteChooser>
> = {
  'first-token': createFirstTokenChooser,
  'least-loaded': () => chooseLeastLoaded,
  random: () => chooseRandom,
  'round-robin': createRoundRobinChooser,
};

/** Spill policies by name. */
export const spillPolicies: Readonly<Record<string, SpillPolicy>> = {
  never: neverSpill,
  'least-loaded': spillToLeastLoaded,
  'when-it-pays': spillWhenItPays,
};

import { chooseLeastLoaded, chooseRandom } from '@camphorbarrow/core';
import type { RouteChooser } from '@camphorbarrow/core';
import type { PolicyContext } from './PolicyContext.js';

/** Route choosers by name; a factory is called once per entry host. */
export const routeChoices: Readonly<Record<string, (context: PolicyContext) => RouteChooser>> = {
  'least-loaded': () => chooseLeastLoaded,
  random: () => chooseRandom,
};

import type { RandomSource } from '@camphorbarrow/core';
import type { Route } from '../model/Route.js';
import type { ServiceName } from '../model/ServiceName.js';

/** One service of the route, drawn by weight; undefined when the route has none. */
export function pickTarget(route: Route, random: RandomSource): ServiceName | undefined {
  const total = route.targets.reduce((sum, { weight }) => sum + weight, 0);
  let rest = random.next() * total;
  const drawn = route.targets.find(({ weight }) => {
    rest -= weight;
    return rest < 0;
  });
  return (drawn ?? route.targets.at(-1))?.service;
}

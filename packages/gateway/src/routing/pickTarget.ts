import type { RandomSource } from '@camphorbarrow/core';
import type { Route } from '../model/Route.js';
import type { ServiceName } from '../model/ServiceName.js';

/** Picks a service of the route at random by weight; undefined if the route has no targets. */
export function pickTarget(route: Route, random: RandomSource): ServiceName | undefined {
  const total = route.targets.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = random.next() * total;
  const picked = route.targets.find(({ weight }) => {
    remaining -= weight;
    return remaining < 0;
  });
  return (picked ?? route.targets.at(-1))?.service;
}

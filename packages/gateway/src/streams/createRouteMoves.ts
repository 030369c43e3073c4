import type { Clock } from '@camphorbarrow/core';
import type { FleetView } from '../fleet/createFleetView.js';
import type { Route } from '../model/Route.js';
import type { RoutingTable } from '../model/RoutingTable.js';
import type { ServiceName } from '../model/ServiceName.js';
import { STREAM_RETENTION_MS } from './streamRetention.js';

type RouteKey = Pick<Route, 'host' | 'pathPrefix'>;

/** Which routes have left a service for so short a time that its streams may still be resumed. */
export interface RouteMoves {
  hasMoved(route: RouteKey): boolean;
}

const keyOf = ({ host, pathPrefix }: RouteKey): string => `${host}${pathPrefix}`;

const servicesOf = (route: Pick<Route, 'targets'> | undefined): ReadonlySet<ServiceName> =>
  new Set((route?.targets ?? []).filter(({ weight }) => weight > 0).map(({ service }) => service));

/** Creates the knowledge of one host, from the configurations that it adopts. */
export function createRouteMoves(
  clock: Clock,
  view: Pick<FleetView, 'onConfiguration'>,
): RouteMoves {
  let routes: RoutingTable['routes'] = [];
  /** Monotonic time of the latest move. */
  const movedAtMs = new Map<string, number>();

  const isRecent = (atMs: number | undefined): boolean =>
    atMs !== undefined && clock.monotonicMs() - atMs <= STREAM_RETENTION_MS;

  view.onConfiguration((table) => {
    const next = new Map(table.routes.map((route) => [keyOf(route), servicesOf(route)]));
    routes
      .filter((route) => {
        const services = next.get(keyOf(route));
        return [...servicesOf(route)].some((service) => services?.has(service) !== true);
      })
      .forEach((route) => movedAtMs.set(keyOf(route), clock.monotonicMs()));
    movedAtMs.forEach((atMs, key) => {
      if (!isRecent(atMs)) {
        movedAtMs.delete(key);
      }
    });
    ({ routes } = table);
  });

  return { hasMoved: (route) => isRecent(movedAtMs.get(keyOf(route))) };
}

import type { Route } from '../model/Route.js';
import type { RoutingTable } from '../model/RoutingTable.js';

/** Routes of each host, those with the longest path prefix first. */
type RouteIndex = ReadonlyMap<string, readonly Route[]>;

/** Tables do not change, and there may be more than a thousand routes. */
const indexes = new WeakMap<RoutingTable, RouteIndex>();

function createIndex({ routes }: RoutingTable): RouteIndex {
  const index = new Map<string, Route[]>();
  routes.forEach((route) => {
    const ofHost = index.get(route.host) ?? [];
    ofHost.push(route);
    index.set(route.host, ofHost);
  });
  // The sort is stable: of equal prefixes, the first one in the table counts.
  index.forEach((ofHost) => ofHost.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length));
  return index;
}

function indexOf(table: RoutingTable): RouteIndex {
  const index = indexes.get(table) ?? createIndex(table);
  indexes.set(table, index);
  return index;
}

/** Host name in lower case, without a port. */
function hostName(hostHeader: string): string {
  return hostHeader.toLowerCase().replace(/:\d*$/, '');
}

/**
 * Returns the route of the host with the longest matching path prefix.
 *
 * @param target request target; its query string is ignored
 */
export function findRoute(
  table: RoutingTable,
  hostHeader: string,
  target: string,
): Route | undefined {
  const path = target.split('?', 1)[0] ?? '';
  return indexOf(table)
    .get(hostName(hostHeader))
    ?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
}

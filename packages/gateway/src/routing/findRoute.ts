import type { Route } from '../model/Route.js';
import type { RoutingTable } from '../model/RoutingTable.js';

/** Host name in lower case, without a port. */
function hostName(hostHeader: string): string {
  return hostHeader.toLowerCase().replace(/:\d*$/, '');
}

/**
 * The route of the host whose prefix is the longest that begins the path.
 *
 * @param target request target; a query does not count
 */
export function findRoute(
  table: RoutingTable,
  hostHeader: string,
  target: string,
): Route | undefined {
  const host = hostName(hostHeader);
  const path = target.split('?', 1)[0] ?? '';
  return table.routes
    .filter((route) => route.host === host && path.startsWith(route.pathPrefix))
    .reduce<Route | undefined>(
      (best, route) =>
        best === undefined || route.pathPrefix.length > best.pathPrefix.length ? route : best,
      undefined,
    );
}

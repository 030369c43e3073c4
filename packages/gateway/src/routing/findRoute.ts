import type { Route } from '../model/Route.js';
import type { RoutingTable } from '../model/RoutingTable.js';

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

import type { IncomingMessage } from 'node:http';
import {
  NoConfigurationError,
  NoServerError,
  NotFoundError,
  RequestError,
  UnknownServiceError,
} from '@camphorbarrow/core';
import type { FleetView } from '../fleet/createFleetView.js';
import type { Customer } from '../model/Customer.js';
import type { Route } from '../model/Route.js';
import type { RoutingTable } from '../model/RoutingTable.js';
import type { ServiceName } from '../model/ServiceName.js';
import type { ServiceSpec } from '../model/ServiceSpec.js';
import { applyCustomer } from '../routing/applyCustomer.js';
import { findRoute } from '../routing/findRoute.js';

/** Retry delay sent to callers while the host has no configuration or the service is unknown. */
const NO_CONFIGURATION_RETRY_MS = 500;
/** Retry delay sent to callers until a later configuration may let a region serve them. */
const NO_REGION_RETRY_MS = 1_000;

/** @throws NoConfigurationError while the host has no configuration */
export function requireTable(view: FleetView): RoutingTable {
  const table = view.table();
  if (table === undefined) {
    throw new NoConfigurationError('This entry host has no configuration yet.', {
      props: { retryAfterMs: NO_CONFIGURATION_RETRY_MS },
    });
  }
  return table;
}

/** @throws RequestError with status 431 when the head exceeds the limit of the configuration */
export function requireHeadWithinLimit(table: RoutingTable, request: IncomingMessage): void {
  const { maxHeaderBytes } = table.limits;
  const sizeBytes = request.rawHeaders.reduce((sum, text) => sum + text.length, 0);
  if (sizeBytes > maxHeaderBytes) {
    throw new RequestError(`The request head exceeds ${maxHeaderBytes} bytes.`, {
      props: { code: 'headers-too-large', statusCode: 431, outcome: 'not-run' },
    });
  }
}

/** @throws NotFoundError when no route matches the host and path */
export function requireRoute(table: RoutingTable, request: IncomingMessage): Route {
  const route = findRoute(table, request.headers.host ?? '', request.url ?? '');
  if (route === undefined) {
    throw new NotFoundError('No route matches the host and path.');
  }
  return route;
}

/** @throws UnknownServiceError when the configuration has no service of this name */
export function requireService(
  table: RoutingTable,
  route: Route,
  name: ServiceName | undefined,
): ServiceSpec {
  const service = name === undefined ? undefined : table.services.get(name);
  if (service === undefined) {
    throw new UnknownServiceError(`The route ${route.name} refers to an unknown service.`, {
      props: { statusCode: 503, retryAfterMs: NO_CONFIGURATION_RETRY_MS },
    });
  }
  return service;
}

/** Route with the settings of the customer; a request that no region may process is rejected. */
export function requireServableRoute(route: Route, customer: Customer | undefined): Route {
  const servable = applyCustomer(route, customer);
  if (servable === undefined) {
    throw new NoServerError('No region may process requests of this customer on this route.', {
      props: { retryAfterMs: NO_REGION_RETRY_MS },
    });
  }
  return servable;
}

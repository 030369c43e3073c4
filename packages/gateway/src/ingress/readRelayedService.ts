import type { IncomingMessage } from 'node:http';
import { RequestError, parseWholeNumber } from '@camphorbarrow/core';
import { StreamVersionError } from '../errors/StreamVersionError.js';
import { relayHeaders } from '../exchange/relayHeaders.js';
import type { Route } from '../model/Route.js';
import type { RoutingTable } from '../model/RoutingTable.js';
import type { ServiceName } from '../model/ServiceName.js';
import type { ServiceSpec } from '../model/ServiceSpec.js';
import { firstHeaderValue } from './firstHeaderValue.js';
import { requireService } from './requestChecks.js';

/**
 * Returns the service that the relaying host chose, or another one if the route has left it. Where the
 * relaying host knows a newer configuration, it is this host whose route names the wrong services.
 *
 * @throws RequestError `older-configuration`, which says that the request has not run
 * @throws StreamVersionError if a stream must go on at a service that the route has left
 */
export function readRelayedService(
  table: RoutingTable,
  route: Route,
  request: IncomingMessage,
  pickService: () => ServiceName | undefined,
): ServiceSpec {
  const chosenName = firstHeaderValue(request, relayHeaders.service);
  const listedName = route.targets.find(({ service }) => service === chosenName)?.service;
  const relayedVersion =
    parseWholeNumber(firstHeaderValue(request, relayHeaders.tableVersion) ?? '') ?? 0;
  if (listedName === undefined && relayedVersion > table.version) {
    throw new RequestError('This entry host has an older configuration.', {
      props: { code: 'older-configuration', statusCode: 503, outcome: 'not-run' },
    });
  }
  const mustGoOn = firstHeaderValue(request, relayHeaders.requiredVersion) !== undefined;
  if (listedName === undefined && mustGoOn) {
    throw new StreamVersionError('The route has left the service that began the stream.');
  }
  return requireService(table, route, listedName ?? pickService());
}

import type { IncomingMessage } from 'node:http';
import { UnauthenticatedError, asId } from '@camphorbarrow/core';
import type { CustomerId } from '@camphorbarrow/core';
import { relayHeaders } from '../exchange/relayHeaders.js';
import type { Customer } from '../model/Customer.js';
import type { CustomerTable } from '../model/CustomerTable.js';
import type { Route } from '../model/Route.js';
import type { WireCodec } from '../ports/WireCodec.js';

/**
 * Returns the customer whose key the caller sent; undefined for a caller without a valid key on an
 * anonymous route.
 *
 * @throws UnauthenticatedError when the route needs a key and the caller sent no valid one
 */
export function identifyCustomer(
  customers: CustomerTable,
  route: Route,
  request: IncomingMessage,
  codec: Pick<WireCodec, 'readApiKey'>,
): Customer | undefined {
  const key = codec.readApiKey(request.rawHeaders);
  const customer = key === undefined ? undefined : customers.byKey.get(key);
  if (customer === undefined && !route.anonymous) {
    throw new UnauthenticatedError('The request has no valid API key.');
  }
  return customer;
}

/**
 * Returns the customer that the relaying host identified. The configuration of this host may be
 * another version, which has no such customer; the relaying host has applied its settings.
 */
export function readRelayedCustomer(
  customers: CustomerTable | undefined,
  request: IncomingMessage,
): Customer | undefined {
  const id = request.headers[relayHeaders.customer];
  if (typeof id !== 'string' || id === '') {
    return undefined;
  }
  const unknown = { rank: undefined, homeRegions: [], allowance: undefined };
  return customers?.byId.get(asId<CustomerId>(id)) ?? { id: asId(id), ...unknown };
}

import { isIPv4 } from 'node:net';
import { asId } from '@camphorbarrow/core';
import { InvalidMessageError } from '../errors/InvalidMessageError.js';
import type { Endpoint } from './Endpoint.js';
import type { HostRegistration } from './HostRegistration.js';
import { isEndpoint } from './isEndpoint.js';
import { isSendableId } from './isSendableId.js';

const MAX_NAME_LENGTH = 200;
/** More cores are taken for a mistake; one host would get all callers. */
const MAX_CORES = 1_024;

const isName = (value: unknown): value is string =>
  typeof value === 'string' && value !== '' && value.length <= MAX_NAME_LENGTH;

const isCores = (value: unknown): value is number =>
  typeof value === 'number' && value > 0 && value <= MAX_CORES;

function requireEndpoint(value: unknown, field: string): Endpoint {
  if (!isEndpoint(value)) {
    throw new InvalidMessageError(`The field ${field} of an entry host is not an IP and port.`);
  }
  return { host: value.host, port: value.port };
}

/**
 * Checks the registration of an entry host, from the store or from a heartbeat. Unknown fields are
 * left out, so that they are not passed on to other hosts.
 *
 * @throws InvalidMessageError if a field is missing or malformed
 */
export function parseHostRegistration(value: unknown): HostRegistration {
  const { id, region, zone, callers, peers, cores } = (value ?? {}) as Record<string, unknown>;
  if (!isSendableId(id) || !isName(region) || !isName(zone)) {
    throw new InvalidMessageError('The id, region or zone of an entry host is malformed.');
  }
  const registration = {
    id: asId<HostRegistration['id']>(id),
    region: asId<HostRegistration['region']>(region),
    zone: asId<HostRegistration['zone']>(zone),
    callers: requireEndpoint(callers, 'callers'),
    peers: requireEndpoint(peers, 'peers'),
    ...(isCores(cores) ? { cores } : {}),
  };
  // Heartbeats are sent from an IPv4 socket.
  if (!isIPv4(registration.peers.host)) {
    throw new InvalidMessageError('The field peers of an entry host is not an IPv4 address.');
  }
  return registration;
}

import { isIP } from 'node:net';
import type { Endpoint } from './Endpoint.js';

const MAX_PORT = 65_535;

/**
 * Whether a value that another program wrote is the address of a socket. Names are not accepted,
 * because a name would be looked up for each connection; neither is the scope of an IPv6 address.
 */
export function isEndpoint(value: unknown): value is Endpoint {
  const { host, port } = (value ?? {}) as { readonly host?: unknown; readonly port?: unknown };
  return (
    typeof host === 'string' &&
    isIP(host) !== 0 &&
    !host.includes('%') &&
    Number.isInteger(port) &&
    (port as number) >= 1 &&
    (port as number) <= MAX_PORT
  );
}

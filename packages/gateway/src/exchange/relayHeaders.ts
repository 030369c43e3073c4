import { filterHeaders } from './filterHeaders.js';

/** Project-specific headers between entry hosts; they are removed from callers' requests. */
export const relayHeaders = {
  /** Id of the host that relays the request. */
  relayedBy: 'x-entry-host-relayed-by',
  /** Service that the relaying host chose. */
  service: 'x-entry-host-service',
  /** Version of the configuration by which the relaying host chose. */
  tableVersion: 'x-entry-host-configuration',
  /** Customer that the relaying host identified; absent for a caller without a key. */
  customer: 'x-entry-host-customer',
  /** Incarnation of the relaying host and time of sending on its monotonic clock. */
  sentAt: 'x-entry-host-sent-at',
  /** Software version at which a stream must go on, encoded as a URI component. */
  requiredVersion: 'x-entry-host-required-version',
  /** Present if the relaying host records by which version a stream was begun. */
  recordsStreams: 'x-entry-host-records-streams',
  /** On a stream: software version of its server, or the claim to it, encoded as a URI component. */
  serverVersion: 'x-entry-host-server-version',
  /** On a response with a server's notice that it is leaving: id of the server. */
  leavingServer: 'x-entry-host-leaving-server',
  /** On an error response: `not-run` or `unknown`. */
  outcome: 'x-entry-host-outcome',
  /** On an error response: code of the error. */
  errorCode: 'x-entry-host-error-code',
  /** On an error response: whether the request may have arrived at a server; assumed if absent. */
  arrived: 'x-entry-host-arrived',
  /** On an error response: present if the host rejected the request for overload. */
  overloaded: 'x-entry-host-overloaded',
} as const;

/** Value of `arrived` for a request that no server has seen. */
export const NOT_ARRIVED = 'no';

const RELAY_HEADER_NAMES: ReadonlySet<string> = new Set(Object.values(relayHeaders));

/** Removes the relay headers from a list of alternating names and values. */
export function stripRelayHeaders(rawHeaders: readonly string[]): string[] {
  return filterHeaders(rawHeaders, (name) => !RELAY_HEADER_NAMES.has(name));
}

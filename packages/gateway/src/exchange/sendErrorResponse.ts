import { serializeRequestError } from '@camphorbarrow/core';
import type { RequestError } from '@camphorbarrow/core';
import type { WireCodec } from '../ports/WireCodec.js';
import type { ResponseWriter } from './ResponseWriter.js';
import type { StopCause } from './StopCause.js';
import { NOT_ARRIVED, relayHeaders } from './relayHeaders.js';

/** Stop causes that hold for the host only: each host has its own part of what a server accepts. */
const HOST_LIMITS: ReadonlySet<StopCause | undefined> = new Set([
  'rate-limited',
  'rejection-limited',
]);
/** Stop causes that show that servers are short of room. */
const ROOM_CAUSES: ReadonlySet<StopCause | undefined> = new Set([
  'overloaded',
  'rejection-limited',
]);

/** What the host that relayed a request has to know of its failure. */
export interface RelayedFailure {
  /** Whether the request may have arrived at a server. */
  readonly hasArrived: boolean;
  /** Why no further attempt was made, if the request got as far as that. */
  readonly stopCause?: StopCause;
}

/**
 * Sends an error of this host as JSON, with the retry delay when the error has one.
 *
 * @param relayed undefined if the request came from a caller
 */
export function sendErrorResponse(
  responseWriter: ResponseWriter,
  codec: WireCodec,
  error: RequestError,
  relayed: RelayedFailure | undefined,
): void {
  const { code, statusCode, outcome, retryAfterMs } = error;
  const retryHeaders = retryAfterMs === undefined ? [] : codec.retryAfterHeader(retryAfterMs);
  const outcomeHeaders =
    relayed === undefined
      ? []
      : [
          relayHeaders.outcome,
          outcome,
          relayHeaders.errorCode,
          HOST_LIMITS.has(relayed.stopCause) ? String(relayed.stopCause) : code,
          ...(ROOM_CAUSES.has(relayed.stopCause) ? [relayHeaders.overloaded, 'yes'] : []),
          ...(relayed.hasArrived ? [] : [relayHeaders.arrived, NOT_ARRIVED]),
        ];
  responseWriter.send(
    statusCode,
    ['Content-Type', 'application/json', ...retryHeaders, ...outcomeHeaders],
    Buffer.from(JSON.stringify({ error: serializeRequestError(error) })),
  );
}

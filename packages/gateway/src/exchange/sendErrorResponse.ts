import { serializeRequestError } from '@camphorbarrow/core';
import type { RequestError } from '@camphorbarrow/core';
import type { WireCodec } from '../ports/WireCodec.js';
import type { ResponseWriter } from './ResponseWriter.js';
import { relayHeaders } from './relayHeaders.js';

/** Sends a final answer of this host's own: typed, and with the time to come back when it has one. */
export function sendErrorResponse(
  sink: ResponseWriter,
  codec: WireCodec,
  error: RequestError,
  relayed: boolean,
): void {
  const { statusCode, outcome, retryAfterMs } = error;
  const retryHeaders = retryAfterMs === undefined ? [] : codec.retryAfterHeader(retryAfterMs);
  const outcomeHeaders = relayed ? [relayHeaders.outcome, outcome] : [];
  sink.send(
    statusCode,
    ['Content-Type', 'application/json', ...retryHeaders, ...outcomeHeaders],
    Buffer.from(JSON.stringify({ error: serializeRequestError(error) })),
  );
}

import { serializeRequestError } from '@camphorbarrow/core';
import type { RequestError } from '@camphorbarrow/core';
import type { WireCodec } from '../ports/WireCodec.js';
import type { ResponseWriter } from './ResponseWriter.js';
import { relayHeaders } from './relayHeaders.js';

/** Sends an error of this host as JSON, with the retry delay when the error has one. */
export function sendErrorResponse(
  responseWriter: ResponseWriter,
  codec: WireCodec,
  error: RequestError,
  isRelayed: boolean,
): void {
  const { code, statusCode, outcome, retryAfterMs } = error;
  const retryHeaders = retryAfterMs === undefined ? [] : codec.retryAfterHeader(retryAfterMs);
  const outcomeHeaders = isRelayed
    ? [relayHeaders.outcome, outcome, relayHeaders.errorCode, code]
    : [];
  responseWriter.send(
    statusCode,
    ['Content-Type', 'application/json', ...retryHeaders, ...outcomeHeaders],
    Buffer.from(JSON.stringify({ error: serializeRequestError(error) })),
  );
}

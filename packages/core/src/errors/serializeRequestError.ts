import { RequestError } from './RequestError.js';
import type { SerializedRequestError } from './SerializedRequestError.js';

/**
 * Serializes any failure. One that is not a `RequestError` is reported without its internal
 * message.
 */
export function serializeRequestError(cause: unknown): SerializedRequestError {
  const requestError =
    cause instanceof RequestError ? cause : new RequestError('Internal error in the gateway.');
  const { message, code, outcome, statusCode, retryAfterMs, details } = requestError;
  return { message, code, outcome, statusCode, retryAfterMs, details };
}

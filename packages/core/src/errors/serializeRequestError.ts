import { RequestError } from './RequestError.js';
import type { SerializedRequestError } from './SerializedRequestError.js';

/** Wire form of any failure; a failure that is no `RequestError` shows no internal text. */
export function serializeRequestError(cause: unknown): SerializedRequestError {
  const known = cause instanceof RequestError ? cause : new RequestError('The gateway failed.');
  const { message, code, outcome, statusCode, retryAfterMs, details } = known;
  return { message, code, outcome, statusCode, retryAfterMs, details };
}

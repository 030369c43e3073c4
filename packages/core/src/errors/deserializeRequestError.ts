import { RequestError } from './RequestError.js';
import type { SerializedRequestError } from './SerializedRequestError.js';

/** Recreates a `RequestError` from its serialized form, to be returned to a caller. */
export function deserializeRequestError(serialized: SerializedRequestError): RequestError {
  const { message, code, outcome, statusCode, retryAfterMs, details } = serialized;
  return new RequestError(message, {
    props: { code, outcome, statusCode, retryAfterMs, details },
  });
}

import { RequestError } from './RequestError.js';
import type { SerializedRequestError } from './SerializedRequestError.js';

/** Turns the wire form of a failure into an error that is answered to a caller. */
export function deserializeRequestError(description: SerializedRequestError): RequestError {
  const { message, code, outcome, statusCode, retryAfterMs, details } = description;
  return new RequestError(message, {
    props: { code, outcome, statusCode, retryAfterMs, details },
  });
}

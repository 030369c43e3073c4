import type { RequestError } from '../errors/RequestError.js';
import type { ServiceAnswer } from '../ports/ServiceClient.js';

/** Outcome of an order. Without `answer`, a response was received but is no longer retained. */
export type OrderOutcome =
  | { readonly kind: 'run'; readonly answer: ServiceAnswer | undefined }
  | { readonly kind: 'not-run'; readonly error: RequestError }
  | { readonly kind: 'unknown'; readonly error: RequestError };

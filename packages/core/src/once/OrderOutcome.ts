import type { RequestError } from '../errors/RequestError.js';
import type { ServiceAnswer } from '../ports/ServiceClient.js';

/** What became of an order. An absent answer was received but is no longer kept. */
export type OrderOutcome =
  | { readonly kind: 'run'; readonly answer: ServiceAnswer | undefined }
  | { readonly kind: 'not-run'; readonly error: RequestError }
  | { readonly kind: 'unknown'; readonly error: RequestError };

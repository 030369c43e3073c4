import type { Outcome } from './Outcome.js';

/** A `RequestError` in the form in which entry hosts send it to each other. */
export interface SerializedRequestError {
  readonly message: string;
  readonly code: string;
  readonly outcome: Outcome;
  readonly statusCode: number;
  readonly retryAfterMs?: number | undefined;
  readonly details: Readonly<Record<string, unknown>>;
}

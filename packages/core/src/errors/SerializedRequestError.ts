import type { Outcome } from './Outcome.js';

/** Wire form of a `RequestError` between entry hosts. */
export interface SerializedRequestError {
  readonly message: string;
  readonly code: string;
  readonly outcome: Outcome;
  readonly statusCode: number;
  readonly retryAfterMs?: number | undefined;
  readonly details: Readonly<Record<string, unknown>>;
}

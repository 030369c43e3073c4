import type { InferenceRequest } from '../requests/InferenceRequest.js';

/** Limits the additional load that retries cause. */
export interface RetryBudget {
  /** Credits a fraction of a retry for the first attempt of a request. */
  deposit(request: InferenceRequest): void;
  /** Withdraws one retry; returns false when the entry host or the customer has none left. */
  tryWithdraw(request: InferenceRequest): boolean;
}

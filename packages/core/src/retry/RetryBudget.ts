import type { InferenceRequest } from '../requests/InferenceRequest.js';

/** Bounds the load that retries add. */
export interface RetryBudget {
  /** Notes the first attempt of a request, which earns a part of a retry. */
  deposit(request: InferenceRequest): void;
  /** Takes one retry; false when the entry host or the customer has none left. */
  tryWithdraw(request: InferenceRequest): boolean;
}

import type { RetryBudget } from './RetryBudget.js';

/** Baseline without a retry budget: only the number of attempts per request is limited. */
export function createUnlimitedRetryBudget(): RetryBudget {
  return { deposit: () => undefined, tryWithdraw: () => true };
}

import type { RetryBudget } from './RetryBudget.js';

/** Baseline: only the number of attempts per request is limited. */
export function createUnlimitedRetries(): RetryBudget {
  return { earn: () => undefined, spend: () => true };
}

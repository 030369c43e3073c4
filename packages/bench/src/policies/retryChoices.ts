import { createRetryBudget, createUnlimitedRetryBudget } from '@camphorbarrow/core';
import type { RetryBudget } from '@camphorbarrow/core';
import type { PolicyContext } from './PolicyContext.js';

/** Retry budgets by name; a factory is called once per entry host. */
export const retryChoices: Readonly<Record<string, (context: PolicyContext) => RetryBudget>> = {
  budget: ({ clock }) => createRetryBudget(clock),
  unlimited: createUnlimitedRetryBudget,
};

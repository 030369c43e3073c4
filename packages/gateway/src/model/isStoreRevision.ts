import type { StoreRevision } from '@camphorbarrow/core';

/** Whether a number can be a revision. A view that took a larger one would follow nothing more. */
export function isStoreRevision(value: unknown): value is StoreRevision {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

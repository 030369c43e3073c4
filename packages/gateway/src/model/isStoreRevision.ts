import { isWholeNumber } from '@camphorbarrow/core';
import type { StoreRevision } from '@camphorbarrow/core';

/** Stores count in 64 bits, from 0 on or in units of time. */
const MAX_REVISION = 2n ** 64n - 1n;

/** Whether a number can be a revision. A view that took a larger one would follow nothing more. */
export function isStoreRevision(value: unknown): value is StoreRevision {
  return isWholeNumber(value) && value <= MAX_REVISION;
}

import type { StoreRevision, WholeNumber } from '@camphorbarrow/core';

/** Era of the store's history. It rises when the store is restored from an older copy. */
export type StoreEra = WholeNumber;

/**
 * Point in the history of the store. Revisions are given out again after a restore, so they are only
 * comparable within an era.
 */
export interface StorePosition {
  readonly era: StoreEra;
  readonly revision: StoreRevision;
}

import type { KeyValue } from '@camphorbarrow/core';
import type { StoreEra } from './StorePosition.js';

/**
 * Last configuration that hosts could read, as they keep it in the store. It outlives all of them, for
 * when the operator's entry cannot be read.
 */
export interface KeptConfiguration {
  /** The operator's entry, with the revision at which it was written. */
  readonly item: KeyValue;
  /** Era of that revision. */
  readonly era: StoreEra;
}

import type { KeyValue, StoreRevision } from '@camphorbarrow/core';
import type { StoreEra } from './StorePosition.js';

/** Configuration that the hosts are to keep in the store. */
export interface ConfigurationToKeep {
  /** The operator's entry, with the revision at which it was written. */
  readonly item: KeyValue;
  /** Era of that revision. */
  readonly era: StoreEra;
}

/**
 * Last configuration that hosts could read, as they keep it in the store. It outlives all of them, for
 * when the operator's entry cannot be read.
 */
export interface KeptConfiguration {
  /** Era and revision at which the operator wrote it. */
  readonly era: StoreEra;
  readonly revision: StoreRevision;
  /**
   * Unpacks the operator's entry, which only a host without a configuration needs.
   *
   * @throws Error if it is damaged
   */
  readonly unpack: () => KeyValue;
}

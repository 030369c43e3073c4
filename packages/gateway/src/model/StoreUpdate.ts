import type { KeyValue, ServerId, StoreRevision } from '@camphorbarrow/core';
import type { StoreEra, StorePosition } from './StorePosition.js';

/**
 * Snapshot of the metadata store, or the changes to it, that one entry host sends to another. It
 * covers all changes up to its position.
 */
export interface StoreUpdate extends StorePosition {
  /** Whether `items` is a full snapshot of the store rather than only the changed items. */
  readonly complete: boolean;
  /** All items, or those with changes other than a new heartbeat, in no particular order. */
  readonly items: readonly KeyValue[];
  /** Removed keys; empty in a full snapshot. */
  readonly removals: readonly { readonly key: string; readonly modRevision: StoreRevision }[];
  /** Servers with a recent heartbeat, and the time since it arrived. */
  readonly heard: readonly (readonly [server: ServerId, ageMs: number])[];
  /**
   * Item of the configuration in force, if the store holds another one because it was restored from
   * an older copy, or one that cannot be read; otherwise null. Hosts of earlier builds do not tell the
   * era in which the store held it.
   */
  readonly configuration: (KeyValue & { readonly era?: StoreEra | undefined }) | null;
  /** Time since the store last confirmed this state; null if it never did. */
  readonly ageMs: number | null;
  /** Time since the store was last seen unavailable; null if it never was. */
  readonly storeAwayMs: number | null;
}

import type { KeyValue, ServerId, StoreRevision } from '@camphorbarrow/core';

/** Snapshot of the metadata store, or the changes to it, that one entry host sends to another. */
export interface StoreUpdate {
  /** Whether `items` is a full snapshot of the store rather than only the changed items. */
  readonly complete: boolean;
  /** All items, or those with changes other than a new heartbeat, in no particular order. */
  readonly items: readonly KeyValue[];
  /** Removed keys; empty in a full snapshot. */
  readonly removals: readonly { readonly key: string; readonly modRevision: StoreRevision }[];
  /** Servers with a recent heartbeat, and the time since it arrived. */
  readonly heard: readonly (readonly [server: ServerId, ageMs: number])[];
  /** Store revision up to which the update covers all changes. */
  readonly revision: StoreRevision;
  /** Time since the store last confirmed this state; null if it never did. */
  readonly ageMs: number | null;
  /** Time since the store was last seen unavailable; null if it never was. */
  readonly storeAwayMs: number | null;
}

import type { KeyValue, ServerId, StoreRevision } from '@camphorbarrow/core';

/** What one entry host tells another of the store. */
export interface StoreUpdate {
  /** Whether `items` is all that the store holds, and not only what changed. */
  readonly complete: boolean;
  /** Items that changed in more than their heartbeat, in no particular order. */
  readonly items: readonly KeyValue[];
  /** Keys that were removed; empty when the news are complete. */
  readonly removals: readonly { readonly key: string; readonly modRevision: StoreRevision }[];
  /** Servers whose heartbeats came of late, with the time since then. */
  readonly heard: readonly (readonly [server: ServerId, ageMs: number])[];
  /** Every change up to here is told. */
  readonly revision: StoreRevision;
  /** Time since the store itself confirmed this; null when it never did. */
  readonly ageMs: number | null;
  /** Time since the store was last seen unavailable; null when it never was. */
  readonly storeAwayMs: number | null;
}

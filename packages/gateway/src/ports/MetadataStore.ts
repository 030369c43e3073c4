import type { KeyValue, LeaseId, WatchEvent } from '@camphorbarrow/core';
import type { StorePosition } from '../model/StorePosition.js';

/**
 * All items with a key prefix, at this position or newer. A watch from this position sees every
 * change made after the listing began.
 */
export interface StoreListing extends StorePosition {
  readonly items: readonly KeyValue[];
}

/** Changes up to this position, from which the next watch continues. */
export interface StoreChanges extends StorePosition {
  readonly events: readonly WatchEvent[];
}

export interface LeasedWrite {
  readonly key: string;
  readonly value: string;
  /** The store removes the key when this lease ends. */
  readonly leaseId: LeaseId;
}

/**
 * Client of the platform's metadata store. Methods reject with `StoreUnavailableError` if the store
 * does not respond in time or rejects the call; a write may still have taken effect.
 */
export interface MetadataStore {
  /** @throws StoreHistoryLostError if the store was restored from an older copy meanwhile */
  list(prefix: string): Promise<StoreListing>;
  /**
   * Waits until a key with the prefix changes after the position, but at most for `waitMs`.
   *
   * @throws StoreHistoryLostError if the store no longer has the changes since that position, or was
   *   restored from an older copy
   */
  waitForChanges(prefix: string, after: StorePosition, waitMs: number): Promise<StoreChanges>;
  /** Writes a key that stays until it is written again. */
  put(write: Omit<LeasedWrite, 'leaseId'>): Promise<void>;
  /** @throws LeaseEndedError if the lease does not exist, or belongs to an earlier era */
  putLeased(write: LeasedWrite): Promise<void>;
  grantLease(ttlMs: number): Promise<LeaseId>;
  /** @throws LeaseEndedError if the lease does not exist, or belongs to an earlier era */
  renewLease(leaseId: LeaseId): Promise<void>;
  /** @throws LeaseEndedError if the lease does not exist, or belongs to an earlier era */
  endLease(leaseId: LeaseId): Promise<void>;
  close(): void;
}

import type { KeyValue, LeaseId, StoreRevision, WatchEvent } from '@camphorbarrow/core';

/** All items with a key prefix, at `revision` or newer. */
export interface StoreListing {
  readonly items: readonly KeyValue[];
  /** A watch from this revision sees every change made after the listing began. */
  readonly revision: StoreRevision;
}

export interface StoreChanges {
  readonly events: readonly WatchEvent[];
  /** Revision from which the next watch continues. */
  readonly revision: StoreRevision;
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
  list(prefix: string): Promise<StoreListing>;
  /**
   * Waits until a key with the prefix changes after `afterRevision`, but at most for `waitMs`.
   *
   * @throws StoreHistoryLostError if the store no longer has the changes since that revision
   */
  waitForChanges(
    prefix: string,
    afterRevision: StoreRevision,
    waitMs: number,
  ): Promise<StoreChanges>;
  /** @throws LeaseEndedError if the lease does not exist */
  putLeased(write: LeasedWrite): Promise<void>;
  grantLease(ttlMs: number): Promise<LeaseId>;
  /** @throws LeaseEndedError if the lease does not exist */
  renewLease(leaseId: LeaseId): Promise<void>;
  endLease(leaseId: LeaseId): Promise<void>;
  close(): void;
}

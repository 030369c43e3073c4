import type { KeyValue, LeaseId, StoreRevision, WatchEvent } from '@camphorbarrow/core';

/** All items below a prefix, as of one revision at the least. */
export interface StoreListing {
  readonly items: readonly KeyValue[];
  /** A watch from here misses no change made after the listing began. */
  readonly revision: StoreRevision;
}

export interface StoreChanges {
  readonly events: readonly WatchEvent[];
  /** Where the next watch goes on. */
  readonly revision: StoreRevision;
}

export interface LeasedWrite {
  readonly key: string;
  readonly value: string;
  /** The key is removed when this lease ends. */
  readonly leaseId: LeaseId;
}

/**
 * The platform's metadata store. Methods reject with `StoreUnavailableError` when it does not
 * answer in time or refuses the call; a write may have taken effect nevertheless.
 */
export interface MetadataStore {
  list(prefix: string): Promise<StoreListing>;
  /**
   * Waits until something below the prefix has changed since `afterRevision`, or for `waitMs`.
   *
   * @throws StoreHistoryLostError when changes since then are no longer known
   */
  waitForChanges(
    prefix: string,
    afterRevision: StoreRevision,
    waitMs: number,
  ): Promise<StoreChanges>;
  /** @throws LeaseEndedError when there is no such lease */
  putLeased(write: LeasedWrite): Promise<void>;
  grantLease(ttlMs: number): Promise<LeaseId>;
  /** @throws LeaseEndedError when there is no such lease */
  renewLease(leaseId: LeaseId): Promise<void>;
  endLease(leaseId: LeaseId): Promise<void>;
  close(): void;
}

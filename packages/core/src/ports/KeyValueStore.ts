import type { WholeNumber } from '../numbers/WholeNumber.js';
import type { Brand } from '../ids/Brand.js';

export type LeaseId = Brand<string, 'LeaseId'>;

/** Revision of the store; increases with every write. Zero stands for an absent key. */
export type StoreRevision = WholeNumber;

export interface KeyValue {
  readonly key: string;
  readonly value: string;
  readonly modRevision: StoreRevision;
}

export interface CompareAndSwapRequest {
  readonly key: string;
  /** Revision that the key must have for the write to take effect; 0 when it must be absent. */
  readonly expectedRevision: StoreRevision;
  readonly value: string;
  /** The key is removed when this lease expires. */
  readonly leaseId?: LeaseId;
}

export type CompareAndSwapResult =
  | { readonly swapped: true; readonly modRevision: StoreRevision }
  | { readonly swapped: false; readonly current: KeyValue | undefined };

export interface WatchEvent {
  readonly kind: 'put' | 'delete';
  readonly key: string;
  readonly value: string;
  readonly modRevision: StoreRevision;
}

export interface ReadOptions {
  /** Returns an empty value, for polls that only check for a new revision. @default false */
  readonly keyOnly?: boolean;
}

/**
 * The platform's key-value service. Every method rejects with `StoreUnavailableError` when the
 * service does not respond in time; a write may have taken effect even so.
 */
export interface KeyValueStore {
  get(key: string, options?: ReadOptions): Promise<KeyValue | undefined>;
  list(prefix: string): Promise<readonly KeyValue[]>;
  compareAndSwap(request: CompareAndSwapRequest): Promise<CompareAndSwapResult>;
  delete(key: string): Promise<void>;
  grantLease(ttlSeconds: number): Promise<LeaseId>;
  /** Renews a lease. Resolves to its remaining time in seconds, or 0 when it has expired. */
  keepAlive(leaseId: LeaseId): Promise<number>;
  revokeLease(leaseId: LeaseId): Promise<void>;
  /** Changes from now on. Changes made while the watch is being opened may be missed. */
  watch(prefix: string, signal: AbortSignal): AsyncIterable<WatchEvent>;
  close(): Promise<void>;
}

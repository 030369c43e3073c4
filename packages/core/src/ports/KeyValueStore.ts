import type { Brand } from '../ids/Brand.js';

export type LeaseId = Brand<string, 'LeaseId'>;

/** Revision of the store; grows with every write. Zero stands for an absent key. */
export type StoreRevision = number;

export interface KeyValue {
  readonly key: string;
  readonly value: string;
  readonly modRevision: StoreRevision;
}

export interface CompareAndSwapRequest {
  readonly key: string;
  /** Revision the key must have for the write to happen; 0 when it must be absent. */
  readonly expectedRevision: StoreRevision;
  readonly value: string;
  /** The key is removed when this lease lapses. */
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
  /** Leaves the value empty, for polls that only look for a new revision. @default false */
  readonly keyOnly?: boolean;
}

/**
 * The platform's key-value service. Every method rejects with `StoreUnavailableError` when the
 * service does not answer in time; a write may have taken effect nevertheless.
 */
export interface KeyValueStore {
  get(key: string, options?: ReadOptions): Promise<KeyValue | undefined>;
  list(prefix: string): Promise<readonly KeyValue[]>;
  compareAndSwap(request: CompareAndSwapRequest): Promise<CompareAndSwapResult>;
  delete(key: string): Promise<void>;
  grantLease(ttlSeconds: number): Promise<LeaseId>;
  /** Resolves to the remaining time in seconds, or 0 when the lease has lapsed. */
  keepAlive(leaseId: LeaseId): Promise<number>;
  revokeLease(leaseId: LeaseId): Promise<void>;
  /** Changes from now on. Changes may be missed while a watch is being opened. */
  watch(prefix: string, signal: AbortSignal): AsyncIterable<WatchEvent>;
  close(): Promise<void>;
}

import { StoreUnavailableError } from '../errors/StoreUnavailableError.js';
import type { Clock } from '../ports/Clock.js';
import type { KeyValue, KeyValueStore, LeaseId, StoreRevision } from '../ports/KeyValueStore.js';
import type { ClaimRecord } from './ClaimRecord.js';
import type { ExecutorIdentity } from './ExecutorIdentity.js';
import { claimRecordSchema } from './claimRecordSchema.js';

export interface ClaimStoreOptions {
  readonly clock: Clock;
  readonly store: KeyValueStore;
  readonly self: ExecutorIdentity;
}

export type ClaimResult =
  | {
      readonly kind: 'acquired';
      readonly revision: StoreRevision;
      /** Whether the claim is still recent enough to send the order. */
      readonly maySend: () => boolean;
    }
  | { readonly kind: 'held'; readonly revision: StoreRevision; readonly record: ClaimRecord }
  | { readonly kind: 'unavailable' };

export interface ClaimStore {
  /**
   * Claims a key by compare-and-swap. After a lost response the stored claim id shows who holds it.
   *
   * @param expectedRevision 0 for a new claim, else the revision of the abandoned claim to replace
   */
  acquire(key: string, claimId: string, expectedRevision: StoreRevision): Promise<ClaimResult>;
  /** Reads a claim without making one; undefined when there is none. */
  read(key: string): Promise<ClaimResult | undefined>;
  /** Marks a claim as abandoned. Failures are ignored: the claimant also knows it from memory. */
  abandon(key: string, claimId: string, revision: StoreRevision): Promise<void>;
}

const MAX_ATTEMPTS = 3;
const MS_PER_SECOND = 1_000;
/** Time after the claim during which an order can be resent. */
const CLAIM_LIFETIME_MS = 86_400_000;
/** Claims made within this time share one lease, so that most claims need no lease call. */
const LEASE_REUSE_MS = 3_600_000;
/** Longest time between the start of a claim and the sending of its order. */
const MAX_SEND_DELAY_MS = 300_000;
const LEASE_TTL_SECONDS =
  (CLAIM_LIFETIME_MS + LEASE_REUSE_MS + 2 * MAX_SEND_DELAY_MS) / MS_PER_SECOND;

/** Measures elapsed time, including pauses of the process and suspensions of the host. */
function createStopwatch(clock: Clock): () => number {
  const wallMs = clock.nowMs();
  const monotonicMs = clock.monotonicMs();
  return () => Math.max(clock.nowMs() - wallMs, clock.monotonicMs() - monotonicMs);
}

/** Creates the store of claims of callers' own keys, kept in the key-value service. */
export function createClaimStore(options: ClaimStoreOptions): ClaimStore {
  const { clock, store, self } = options;
  let lease: { readonly id: LeaseId; readonly ageMs: () => number } | undefined;

  async function currentLease(): Promise<LeaseId> {
    if (lease === undefined || lease.ageMs() > LEASE_REUSE_MS) {
      const ageMs = createStopwatch(clock);
      lease = { id: await store.grantLease(LEASE_TTL_SECONDS), ageMs };
    }
    return lease.id;
  }

  function serializeRecord(claimId: string, state: ClaimRecord['state']): string {
    const { hostId, incarnation } = self;
    const record = { claimId, hostId, incarnation, state, claimedAtMs: clock.nowMs() };
    return JSON.stringify(record satisfies ClaimRecord);
  }

  function toHeldClaim(current: KeyValue): ClaimResult {
    const record = claimRecordSchema.parse(JSON.parse(current.value));
    return { kind: 'held', revision: current.modRevision, record };
  }

  /** Makes one attempt to claim the key; undefined when it has to be retried. */
  async function tryAcquire(
    key: string,
    claimId: string,
    expectedRevision: StoreRevision,
    maySend: () => boolean,
  ): Promise<ClaimResult | undefined> {
    let current: KeyValue | undefined;
    try {
      const leaseId = await currentLease();
      const value = serializeRecord(claimId, 'claimed');
      const result = await store.compareAndSwap({ key, expectedRevision, value, leaseId });
      if (result.swapped) {
        return { kind: 'acquired', revision: result.modRevision, maySend };
      }
      current = result.current;
    } catch (cause) {
      if (!(cause instanceof StoreUnavailableError)) {
        throw cause;
      }
      // The failure may be due to the lease, so the next attempt grants a new one.
      lease = undefined;
      current = await store.get(key);
    }
    if (current === undefined || current.modRevision === expectedRevision) {
      return undefined;
    }
    const held = toHeldClaim(current);
    return held.kind === 'held' && held.record.claimId === claimId
      ? { kind: 'acquired', revision: current.modRevision, maySend }
      : held;
  }

  return {
    async acquire(key, claimId, expectedRevision) {
      const ageMs = createStopwatch(clock);
      const maySend = (): boolean => ageMs() <= MAX_SEND_DELAY_MS;
      let revision = expectedRevision;
      try {
        for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
          const result = await tryAcquire(key, claimId, revision, maySend);
          if (result !== undefined) {
            return result;
          }
          if (revision !== 0 && (await store.get(key)) === undefined) {
            revision = 0;
          }
        }
        return { kind: 'unavailable' };
      } catch {
        return { kind: 'unavailable' };
      }
    },
    async read(key) {
      try {
        const current = await store.get(key);
        return current === undefined ? undefined : toHeldClaim(current);
      } catch {
        return { kind: 'unavailable' };
      }
    },
    async abandon(key, claimId, revision) {
      try {
        const leaseId = await currentLease();
        const value = serializeRecord(claimId, 'abandoned');
        await store.compareAndSwap({ key, expectedRevision: revision, value, leaseId });
      } catch {
        // While this process runs, it reports the claim as abandoned from memory.
      }
    },
  };
}

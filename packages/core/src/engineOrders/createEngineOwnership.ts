import { FencedOffError } from '../errors/FencedOffError.js';
import type { HostId } from '../ids/HostId.js';
import type { Incarnation } from '../ids/Incarnation.js';
import type { RegionId } from '../ids/RegionId.js';
import type { Clock } from '../ports/Clock.js';
import type { KeyValueStore, LeaseId } from '../ports/KeyValueStore.js';

export interface EngineOwnershipOptions {
  readonly clock: Clock;
  readonly store: KeyValueStore;
  readonly hostId: HostId;
  readonly incarnation: Incarnation;
  readonly regionId: RegionId;
  /** Time to live of the lease. @default 15 */
  readonly ttlSeconds?: number;
}

export interface EngineOwnership {
  /**
   * Acquires or renews the lease. Resolves to the fencing token, or to undefined when another entry
   * host is the owner. Rejects with `StoreUnavailableError`.
   */
  acquire(): Promise<number | undefined>;
  /**
   * Checks by this host's monotonic clock that the lease stays valid for another `marginMs`.
   *
   * @throws FencedOffError when the lease may expire before then
   */
  assertHeldFor(marginMs: number): void;
  /** Monotonic time at which this host became the owner. */
  ownerSinceMs(): number;
  release(): Promise<void>;
}

const OWNER_PREFIX = '/engine-owners/';
const DEFAULT_TTL_SECONDS = 15;
const MS_PER_SECOND = 1000;

/**
 * Creates the lease-based ownership of a region's engines; only the owner sends them orders. One
 * key per region keeps the number of store calls independent of the number of engines.
 */
export function createEngineOwnership(options: EngineOwnershipOptions): EngineOwnership {
  const { clock, store } = options;
  const ttlSeconds = options.ttlSeconds ?? DEFAULT_TTL_SECONDS;
  const key = `${OWNER_PREFIX}${options.regionId}`;
  let leaseId: LeaseId | undefined;
  let fencingToken: number | undefined;
  let validUntilMs = -Infinity;
  let ownerSinceMs = Infinity;

  function clearLease(): void {
    leaseId = undefined;
    fencingToken = undefined;
    validUntilMs = -Infinity;
    ownerSinceMs = Infinity;
  }

  async function renew(lease: LeaseId): Promise<boolean> {
    const requestedAtMs = clock.monotonicMs();
    const remainingSeconds = await store.keepAlive(lease);
    if (remainingSeconds === 0) {
      clearLease();
      return false;
    }
    // Counted from before the call, so that the lease expires here before it expires in the store.
    validUntilMs = requestedAtMs + remainingSeconds * MS_PER_SECOND;
    return true;
  }

  async function tryAcquireLease(): Promise<void> {
    // Reads first: hosts that are not the owner would otherwise make three writes in every
    // interval.
    if ((await store.get(key, { keyOnly: true })) !== undefined) {
      return;
    }
    const requestedAtMs = clock.monotonicMs();
    const lease = await store.grantLease(ttlSeconds);
    const value = JSON.stringify({ hostId: options.hostId, incarnation: options.incarnation });
    const result = await store.compareAndSwap({ key, expectedRevision: 0, value, leaseId: lease });
    if (!result.swapped) {
      await store.revokeLease(lease);
      return;
    }
    leaseId = lease;
    // The store of this interface numbers its revisions from 1 on.
    fencingToken = Number(result.modRevision);
    validUntilMs = requestedAtMs + ttlSeconds * MS_PER_SECOND;
    ownerSinceMs = clock.monotonicMs();
  }

  return {
    async acquire() {
      if (leaseId === undefined || !(await renew(leaseId))) {
        await tryAcquireLease();
      }
      return fencingToken;
    },
    assertHeldFor(marginMs) {
      if (clock.monotonicMs() + marginMs >= validUntilMs) {
        throw new FencedOffError('The engine ownership lease may expire before the order ends.');
      }
    },
    ownerSinceMs: () => ownerSinceMs,
    async release() {
      const lease = leaseId;
      clearLease();
      if (lease !== undefined) {
        await store.revokeLease(lease);
      }
    },
  };
}

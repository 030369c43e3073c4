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
  /** Time-to-live of the lease. @default 15 */
  readonly ttlSeconds?: number;
}

export interface EngineOwnership {
  /**
   * Takes or renews the lease. Resolves to the fencing token, or to undefined when another entry
   * host is the owner. Rejects with `StoreUnavailableError`.
   */
  acquire(): Promise<number | undefined>;
  /**
   * Checks by this host's clock that the lease holds for `marginMs` more.
   *
   * @throws FencedOffError when it may lapse before
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
 * Creates the claim to give orders to the engines of a region. One key per region keeps the store
 * calls independent of the number of engines.
 */
export function createEngineOwnership(options: EngineOwnershipOptions): EngineOwnership {
  const { clock, store } = options;
  const ttlSeconds = options.ttlSeconds ?? DEFAULT_TTL_SECONDS;
  const key = `${OWNER_PREFIX}${options.regionId}`;
  let leaseId: LeaseId | undefined;
  let fencingToken: number | undefined;
  let validUntilMs = -Infinity;
  let ownerSinceMs = Infinity;

  function forget(): void {
    leaseId = undefined;
    fencingToken = undefined;
    validUntilMs = -Infinity;
    ownerSinceMs = Infinity;
  }

  async function renew(lease: LeaseId): Promise<boolean> {
    const askedAtMs = clock.monotonicMs();
    const remainingSeconds = await store.keepAlive(lease);
    if (remainingSeconds === 0) {
      forget();
      return false;
    }
    // Counted from before the call, so that this host's view ends before the store's.
    validUntilMs = askedAtMs + remainingSeconds * MS_PER_SECOND;
    return true;
  }

  async function take(): Promise<void> {
    // A read first: hosts that are not the owner would otherwise make three writes in every round.
    if ((await store.get(key, { keyOnly: true })) !== undefined) {
      return;
    }
    const askedAtMs = clock.monotonicMs();
    const lease = await store.grantLease(ttlSeconds);
    const value = JSON.stringify({ hostId: options.hostId, incarnation: options.incarnation });
    const result = await store.compareAndSwap({ key, expectedRevision: 0, value, leaseId: lease });
    if (!result.swapped) {
      await store.revokeLease(lease);
      return;
    }
    leaseId = lease;
    fencingToken = result.modRevision;
    validUntilMs = askedAtMs + ttlSeconds * MS_PER_SECOND;
    ownerSinceMs = clock.monotonicMs();
  }

  return {
    async acquire() {
      if (leaseId === undefined || !(await renew(leaseId))) {
        await take();
      }
      return fencingToken;
    },
    assertHeldFor(marginMs) {
      if (clock.monotonicMs() + marginMs >= validUntilMs) {
        throw new FencedOffError('The lease on the engines may lapse before the order ends.');
      }
    },
    ownerSinceMs: () => ownerSinceMs,
    async release() {
      const lease = leaseId;
      forget();
      if (lease !== undefined) {
        await store.revokeLease(lease);
      }
    },
  };
}

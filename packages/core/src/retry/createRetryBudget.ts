import type { FleetDefaults } from '../config/FleetDefaults.js';
import type { CustomerId } from '../ids/CustomerId.js';
import type { Clock } from '../ports/Clock.js';
import type { RetryBudget } from './RetryBudget.js';

/**
 * Capacity of the entry host's bucket. It covers retries of the requests in flight when a server or
 * all open connections fail at once.
 */
const MAX_STORED_RETRIES = 50;
/** Capacity of a customer's bucket. One customer can use at most half of the host's capacity. */
const MAX_STORED_RETRIES_PER_CUSTOMER = 25;
const MAX_CUSTOMERS = 4_096;
const MS_PER_SECOND = 1000;

interface Bucket {
  readonly capacity: number;
  retries: number;
  lastRefillAtMs: number;
}

/**
 * Creates a retry budget with token buckets for the entry host and for each customer. A retry takes
 * one token from both. Buckets start full. In an interval of T seconds with N first attempts, the
 * host sends at most `N × (1 + budgetRatio) + T × minimumRetriesPerSecond + 50` attempts that may
 * cause work at a server.
 */
export function createRetryBudget(clock: Clock): RetryBudget {
  const createBucket = (capacity: number): Bucket => ({
    capacity,
    retries: capacity,
    lastRefillAtMs: clock.monotonicMs(),
  });
  const host = createBucket(MAX_STORED_RETRIES);
  const customers = new Map<CustomerId, Bucket>();

  /** Returns the customer's bucket and marks it as the most recently used one. */
  function bucketOf(customerId: CustomerId): Bucket {
    const bucket = customers.get(customerId) ?? createBucket(MAX_STORED_RETRIES_PER_CUSTOMER);
    customers.delete(customerId);
    customers.set(customerId, bucket);
    if (customers.size > MAX_CUSTOMERS) {
      const [leastRecentlyUsed] = customers.keys();
      customers.delete(leastRecentlyUsed as CustomerId);
    }
    return bucket;
  }

  function refill(bucket: Bucket, deposit: number, { retry }: FleetDefaults): void {
    const nowMs = clock.monotonicMs();
    const elapsedSeconds = (nowMs - bucket.lastRefillAtMs) / MS_PER_SECOND;
    bucket.lastRefillAtMs = nowMs;
    bucket.retries = Math.min(
      bucket.capacity,
      bucket.retries + deposit + elapsedSeconds * retry.minimumRetriesPerSecond,
    );
  }

  return {
    deposit({ customerId, settings }) {
      [host, bucketOf(customerId)].forEach((bucket) =>
        refill(bucket, settings.retry.budgetRatio, settings),
      );
    },
    tryWithdraw({ customerId, settings }) {
      const buckets = [host, bucketOf(customerId)];
      buckets.forEach((bucket) => refill(bucket, 0, settings));
      if (buckets.some(({ retries }) => retries < 1)) {
        return false;
      }
      buckets.forEach((bucket) => {
        bucket.retries -= 1;
      });
      return true;
    },
  };
}

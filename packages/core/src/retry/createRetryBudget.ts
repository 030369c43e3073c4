import type { FleetDefaults } from '../config/FleetDefaults.js';
import type { CustomerId } from '../ids/CustomerId.js';
import type { Clock } from '../ports/Clock.js';
import type { RetryBudget } from './RetryBudget.js';

/**
 * Retries the entry host's bucket holds at most. They serve the requests in flight when a server
 * or all open connections fail at once.
 */
const MAX_STORED_RETRIES = 50;
/** Retries a customer's bucket holds at most, so that one customer leaves half for the others. */
const MAX_STORED_RETRIES_PER_CUSTOMER = 25;
const MAX_CUSTOMERS = 4_096;
const MS_PER_SECOND = 1000;

interface Bucket {
  readonly depth: number;
  retries: number;
  filledAtMs: number;
}

/**
 * Creates token buckets for the entry host and for each customer; a retry takes one token from
 * both. Buckets start full. In any time T with N first attempts the host sends at most
 * `N × (1 + budgetRatio) + T × minimumRetriesPerSecond + 50` attempts that may cost a server work.
 */
export function createRetryBudget(clock: Clock): RetryBudget {
  const createBucket = (depth: number): Bucket => ({
    depth,
    retries: depth,
    filledAtMs: clock.monotonicMs(),
  });
  const host = createBucket(MAX_STORED_RETRIES);
  const customers = new Map<CustomerId, Bucket>();

  /** The customer's bucket, moved to the end of the order in which buckets are forgotten. */
  function bucketOf(customerId: CustomerId): Bucket {
    const bucket = customers.get(customerId) ?? createBucket(MAX_STORED_RETRIES_PER_CUSTOMER);
    customers.delete(customerId);
    customers.set(customerId, bucket);
    if (customers.size > MAX_CUSTOMERS) {
      const [oldest] = customers.keys();
      customers.delete(oldest as CustomerId);
    }
    return bucket;
  }

  function fill(bucket: Bucket, earned: number, { retry }: FleetDefaults): void {
    const nowMs = clock.monotonicMs();
    const elapsedSeconds = (nowMs - bucket.filledAtMs) / MS_PER_SECOND;
    bucket.filledAtMs = nowMs;
    bucket.retries = Math.min(
      bucket.depth,
      bucket.retries + earned + elapsedSeconds * retry.minimumRetriesPerSecond,
    );
  }

  return {
    deposit({ customerId, settings }) {
      [host, bucketOf(customerId)].forEach((bucket) =>
        fill(bucket, settings.retry.budgetRatio, settings),
      );
    },
    tryWithdraw({ customerId, settings }) {
      const buckets = [host, bucketOf(customerId)];
      buckets.forEach((bucket) => fill(bucket, 0, settings));
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

import type { FleetDefaults } from '../config/FleetDefaults.js';
import type { CustomerId } from '../ids/CustomerId.js';
import type { Clock } from '../ports/Clock.js';
import type { RetryBudget } from './RetryBudget.js';

/** Retries a bucket holds at most, which bounds a burst after a quiet time. */
const MAX_STORED_RETRIES = 10;
const MAX_CUSTOMERS = 4_096;
const MS_PER_SECOND = 1000;

interface Bucket {
  retries: number;
  filledAtMs: number;
}

/**
 * Creates token buckets for the entry host and for each customer; a retry takes one token from
 * both. In any time T with N first attempts the host sends at most
 * `N × (1 + budgetRatio) + T × minimumRetriesPerSecond + 10` attempts.
 */
export function createRetryBudget(clock: Clock): RetryBudget {
  const host: Bucket = { retries: 0, filledAtMs: clock.monotonicMs() };
  const customers = new Map<CustomerId, Bucket>();

  /** The customer's bucket, moved to the end of the order in which buckets are forgotten. */
  function bucketOf(customerId: CustomerId): Bucket {
    const bucket = customers.get(customerId) ?? { retries: 0, filledAtMs: clock.monotonicMs() };
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
      MAX_STORED_RETRIES,
      bucket.retries + earned + elapsedSeconds * retry.minimumRetriesPerSecond,
    );
  }

  return {
    earn({ customerId, settings }) {
      [host, bucketOf(customerId)].forEach((bucket) =>
        fill(bucket, settings.retry.budgetRatio, settings),
      );
    },
    spend({ customerId, settings }) {
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

import type { Clock } from '@camphorbarrow/core';
import type { FleetBounds } from '../lifecycle/EntryHostOptions.js';
import type { ServiceName } from '../model/ServiceName.js';

export interface RetryBudgetOptions {
  readonly clock: Clock;
  readonly bounds: () => Pick<FleetBounds, 'retryRatio' | 'retrySlack' | 'retryWindowMs'>;
  /** Number of entry hosts that share the slack. */
  readonly hostCount: () => number;
}

/** Budget per service for sending requests again after their first attempt. */
export interface RetryBudget {
  /** Records a request, which adds its share to the budget. */
  recordRequest(service: ServiceName): void;
  /** Consumes one retry. Returns false if the budget of the current window is used up. */
  tryWithdraw(service: ServiceName): boolean;
  /** Returns the latest retry, which reached no server. */
  refund(service: ServiceName): void;
}

/** Part of the budget that is used, because hosts do not know each other's counts. */
const SAFETY_RATIO = 0.8;
const BUCKETS = 10;

interface Window {
  readonly requests: number[];
  readonly retries: number[];
  bucket: number;
}

/** Creates a budget with a sliding window of ten buckets. */
export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
  const windows = new Map<ServiceName, Window>();

  function windowOf(service: ServiceName): Window {
    const bucketMs = options.bounds().retryWindowMs / BUCKETS;
    const bucket = Math.floor(options.clock.monotonicMs() / bucketMs);
    const window = windows.get(service) ?? {
      requests: Array<number>(BUCKETS).fill(0),
      retries: Array<number>(BUCKETS).fill(0),
      bucket,
    };
    windows.set(service, window);
    const steps = Math.min(BUCKETS, bucket - window.bucket);
    for (let step = 1; step <= steps; step += 1) {
      const index = (window.bucket + step) % BUCKETS;
      window.requests[index] = 0;
      window.retries[index] = 0;
    }
    window.bucket = bucket;
    return window;
  }

  const sum = (counts: readonly number[]): number => counts.reduce((a, b) => a + b, 0);

  function add(counts: number[], bucket: number): void {
    const index = bucket % BUCKETS;
    counts[index] = (counts[index] ?? 0) + 1;
  }

  return {
    recordRequest(service) {
      const window = windowOf(service);
      add(window.requests, window.bucket);
    },
    tryWithdraw(service) {
      const window = windowOf(service);
      const { retryRatio, retrySlack } = options.bounds();
      const slack = retrySlack / Math.max(1, options.hostCount());
      const allowed = SAFETY_RATIO * (retryRatio * sum(window.requests) + slack);
      if (sum(window.retries) + 1 > allowed) {
        return false;
      }
      add(window.retries, window.bucket);
      return true;
    },
    refund(service) {
      const { retries, bucket } = windowOf(service);
      for (let age = 0; age < BUCKETS; age += 1) {
        const index = (bucket - age + BUCKETS) % BUCKETS;
        const count = retries[index] ?? 0;
        if (count > 0) {
          retries[index] = count - 1;
          return;
        }
      }
    },
  };
}

import type { Clock } from '@camphorbarrow/core';
import type { FleetBounds } from '../lifecycle/EntryHostOptions.js';
import type { ServiceName } from '../model/ServiceName.js';

export interface RetryBudgetOptions {
  readonly clock: Clock;
  readonly bounds: () => Pick<FleetBounds, 'retryRatio' | 'retrySlack' | 'retryWindowMs'>;
  /** Entry hosts that share the slack. */
  readonly hostCount: () => number;
}

/** Limit on sends of a request beyond its first one, for each service. */
export interface RetryBudget {
  recordRequest(service: ServiceName): void;
  /** Takes one repeated send; false when the window's allowance is used up. */
  tryWithdraw(service: ServiceName): boolean;
}

/** Part of the allowance that is used, because hosts do not see each other's windows. */
const SAFETY_RATIO = 0.8;
const BUCKETS = 10;

interface Window {
  readonly requests: number[];
  readonly repeats: number[];
  bucket: number;
}

/** Creates the allowance, kept in a sliding window of ten buckets. */
export function createRetryBudget(options: RetryBudgetOptions): RetryBudget {
  const windows = new Map<ServiceName, Window>();

  function windowOf(service: ServiceName): Window {
    const bucketMs = options.bounds().retryWindowMs / BUCKETS;
    const bucket = Math.floor(options.clock.monotonicMs() / bucketMs);
    const window = windows.get(service) ?? {
      requests: Array<number>(BUCKETS).fill(0),
      repeats: Array<number>(BUCKETS).fill(0),
      bucket,
    };
    windows.set(service, window);
    const steps = Math.min(BUCKETS, bucket - window.bucket);
    for (let step = 1; step <= steps; step += 1) {
      const index = (window.bucket + step) % BUCKETS;
      window.requests[index] = 0;
      window.repeats[index] = 0;
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
      const { retryRatio: repeatRatio, retrySlack: repeatSlack } = options.bounds();
      const slack = repeatSlack / Math.max(1, options.hostCount());
      const allowed = SAFETY_RATIO * (repeatRatio * sum(window.requests) + slack);
      if (sum(window.repeats) + 1 > allowed) {
        return false;
      }
      add(window.repeats, window.bucket);
      return true;
    },
  };
}

import type { Clock } from '@camphorbarrow/core';

/** Sum of the amounts of a recent period, which is at least as long as asked for. */
export interface RecentSum {
  add(amount: number): void;
  /** Removes a part of the latest amounts. */
  subtract(amount: number): void;
  sum(): number;
  /** Longest period that `sum` covers, in ms. */
  readonly coveredMs: number;
}

const PARTS = 4;

/** Creates a sum over parts of the period, of which the oldest is dropped as a whole. */
export function createRecentSum(clock: Clock, periodMs: number): RecentSum {
  const partMs = periodMs / PARTS;
  /** The latest part first. */
  const parts = Array<number>(PARTS + 1).fill(0);
  let part = -Infinity;
  /** Most sums are of customers without requests. */
  let isEmpty = true;

  function advance(): void {
    if (isEmpty) {
      return;
    }
    const current = Math.floor(clock.monotonicMs() / partMs);
    const steps = Math.min(parts.length, current - part);
    if (steps > 0) {
      parts.copyWithin(steps, 0).fill(0, 0, steps);
      part = current;
      isEmpty = parts.every((sum) => sum === 0);
    }
  }

  return {
    add(amount) {
      advance();
      if (isEmpty) {
        part = Math.floor(clock.monotonicMs() / partMs);
        isEmpty = false;
      }
      parts[0] = (parts[0] ?? 0) + amount;
    },
    subtract(amount) {
      advance();
      let rest = amount;
      parts.forEach((sum, index) => {
        const removed = Math.min(sum, rest);
        rest -= removed;
        parts[index] = sum - removed;
      });
    },
    sum() {
      advance();
      return isEmpty ? 0 : parts.reduce((total, each) => total + each, 0);
    },
    coveredMs: partMs * (PARTS + 1),
  };
}

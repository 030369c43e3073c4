import type { Clock } from '@camphorbarrow/core';
import { MIN_CAPACITY_S } from './allowanceBudget.js';
import type { AllowanceBudget } from './allowanceBudget.js';
import type { DelegatedShare } from './createDelegatedShare.js';
import { createRecentMaximum } from './createRecentMaximum.js';
import { createRecentSum } from './createRecentSum.js';
import type { RecentSum } from './createRecentSum.js';

/** Time for which rejected requests raise what the bucket borrows and keeps. */
const LARGEST_NEED_MAX_AGE_MS = 1_000;
/** The rest of the lifetime is for the way from the lender. */
const LOAN_PART_OF_LIFETIME = 0.5;
/** Longest retry delay; later ones are spread over its second half. */
const MAX_RETRY_MS = 8_000;
/** Retry delay while no host delegates its share. */
const NO_SHARE_RETRY_MS = 1_000;
/** The level that an owner tries to keep, in amounts of the recent grants. */
const TARGET_IN_RECENT_GRANTS = 2;
/** Time for which tokens are kept for a rejected request; its caller comes back within it. */
const LARGEST_COST_MAX_AGE_MS = MAX_RETRY_MS + 1_000;
/** Level in parts of the capacity below which hosts have to ask for each request. */
const CALM_LEVEL_RATIO = 0.5;
const MS_PER_SECOND = 1_000;

/** Limits of a customer for all hosts together. */
export interface TokenLimits extends Pick<AllowanceBudget, 'capacity' | 'debt'> {
  readonly ratePerSecond: number;
}

/** Requests that an owner has no tokens for. */
export interface RejectedTokens {
  /** Sum of their tokens. */
  readonly need: number;
  /** Part of them for which the owner has told before when there will be room. */
  readonly foretold: number;
  /** Tokens of the first of them. */
  readonly largest: number;
}

export interface TokenBucketOptions {
  readonly clock: Clock;
  readonly share: Pick<DelegatedShare, 'creditMs' | 'expectedMs' | 'ratio'>;
  /** Limits of the configuration in force, for all hosts together. */
  readonly limits: () => TokenLimits;
  readonly lifetimeMs: number;
  /** A number in [0, 1), which spreads retries. */
  readonly random: () => number;
}

/** Tokens of a customer that an owner holds. */
export interface TokenBucket {
  /**
   * Takes tokens for requests of a host.
   *
   * @param need tokens of all requests
   * @param least tokens of the first request that waits; fewer are of no use to it
   * @param owed part of the need that requests used already
   */
  take(need: number, least: number, owed?: number): number;
  /** Takes back tokens that left the bucket and were not used. */
  putBack(amount: number): void;
  /** Takes tokens for another owner, as far as this one has more than it needs itself. */
  lend(want: number): number;
  /** Adds tokens of another owner. */
  addLoan(amount: number): void;
  /** Number of tokens by which the bucket is below what recent requests need; 0 if there are enough. */
  missing(): number;
  /**
   * Records rejected requests. Returns the time until there is room for them and for those that were
   * rejected before them, in ms.
   */
  recordRejection(rejected: RejectedTokens): number;
  /** Applies changed limits and shares. */
  update(): void;
  level(): number;
  /** Whether hosts have to ask for each request. */
  isShort(): boolean;
}

/**
 * Creates a bucket that is empty, and is refilled by the time that hosts delegate. Tokens that left it
 * recently count as held, because they may come back or be on the way.
 */
export function createTokenBucket(options: TokenBucketOptions): TokenBucket {
  const { clock, share, limits, lifetimeMs } = options;
  const granted = createRecentSum(clock, lifetimeMs);
  const lent = createRecentSum(clock, lifetimeMs);
  /** Tokens of other owners, which still count them as their own for at least as long. */
  const loans = createRecentSum(clock, lifetimeMs * LOAN_PART_OF_LIFETIME);
  let tokens = 0;
  let creditMs = share.creditMs();
  const largestNeed = createRecentMaximum(clock, LARGEST_NEED_MAX_AGE_MS);
  const largestCost = createRecentMaximum(clock, LARGEST_COST_MAX_AGE_MS);
  /** Time at which all that were rejected could have been admitted. */
  let promisedAtMs = -Infinity;

  const tokensPerMs = (): number => (limits().ratePerSecond / MS_PER_SECOND) * share.ratio();

  /** Tokens of the time that hosts have not delegated yet, which count as held where the burst allows it. */
  function expected(): number {
    const { ratePerSecond, capacity } = limits();
    const seconds = share.expectedMs() / MS_PER_SECOND;
    const spare = capacity - MIN_CAPACITY_S * ratePerSecond;
    return Math.min(ratePerSecond * seconds, Math.max(0, spare) * share.ratio());
  }

  /**
   * Highest level. Waiting requests raise it by the debt. A single one raises it up to the whole capacity,
   * because the owner's part of a small allowance may be less than any request.
   */
  function ceiling(): number {
    const { capacity, debt } = limits();
    const ratio = share.ratio();
    const outside = Math.max(
      0,
      granted.sum() + lent.sum() - loans.sum() - tokensPerMs() * granted.coveredMs,
    );
    const usual = Math.max(0, capacity * ratio - outside - expected());
    return Math.max(
      usual,
      Math.min(largestNeed.value(), usual + debt * ratio),
      Math.min(largestCost.value(), capacity - outside),
    );
  }

  /**
   * Level at which the largest of the requests that were rejected lately would be admitted. Shorter ones
   * wait for it, too: they would use up what is left, and it would never be reached.
   */
  const admissionLevel = (): number =>
    Math.max(0, Math.min(largestCost.value() - limits().debt * share.ratio(), ceiling()));

  function update(): void {
    const nowCreditMs = share.creditMs();
    tokens += ((nowCreditMs - creditMs) * limits().ratePerSecond) / MS_PER_SECOND;
    creditMs = nowCreditMs;
    tokens = Math.min(tokens, ceiling());
  }

  function remove(amount: number, sum: RecentSum): number {
    tokens -= amount;
    sum.add(amount);
    return amount;
  }

  const ownNeed = (): number => TARGET_IN_RECENT_GRANTS * granted.sum() + largestNeed.value();

  return {
    take(need, least, owed = 0) {
      update();
      const level = admissionLevel();
      if (tokens <= 0 || tokens < level) {
        return 0;
      }
      const debt = limits().debt * share.ratio();
      const paid = remove(Math.min(need, owed, tokens + debt), granted);
      if (tokens <= 0 || tokens < level || tokens + debt < least) {
        return paid;
      }
      // Of the requests after the first, those that others would be admitted for, too.
      return paid + remove(Math.min(need - paid, Math.max(least, tokens - level)), granted);
    },
    putBack(amount) {
      const known = Math.min(amount, granted.sum());
      granted.subtract(known);
      tokens += known;
      update();
    },
    lend(want) {
      update();
      const spare = tokens - ownNeed();
      return spare <= 0 ? 0 : remove(Math.min(want, spare / 2), lent);
    },
    addLoan(amount) {
      update();
      loans.add(amount);
      tokens = Math.min(tokens + amount, Math.max(tokens, ceiling()));
    },
    missing() {
      const wanted = ownNeed();
      if (wanted === 0) {
        return 0;
      }
      update();
      return Math.max(0, Math.min(wanted, ceiling()) - tokens);
    },
    recordRejection({ need, foretold, largest }) {
      const nowMs = clock.monotonicMs();
      const { capacity, debt } = limits();
      largestNeed.record(need);
      // A larger one would never be admitted.
      if (largest <= capacity + debt * share.ratio()) {
        largestCost.record(largest);
      }
      const rate = tokensPerMs();
      if (rate === 0) {
        return NO_SHARE_RETRY_MS;
      }
      const emptyAtMs = nowMs - tokens / rate;
      const beforeMs = Math.max(emptyAtMs, promisedAtMs - foretold / rate);
      promisedAtMs = Math.max(promisedAtMs, beforeMs + foretold / rate) + (need - foretold) / rate;
      const retryMs = beforeMs + Math.max(largest, admissionLevel()) / rate - nowMs;
      if (retryMs <= MAX_RETRY_MS) {
        return Math.max(0, retryMs);
      }
      promisedAtMs = nowMs + MAX_RETRY_MS;
      return MAX_RETRY_MS * (0.5 + 0.5 * options.random());
    },
    update,
    level: () => tokens,
    isShort() {
      update();
      // While requests are rejected, credit would admit the short ones only.
      return (
        largestNeed.value() > 0 ||
        tokens < CALM_LEVEL_RATIO * (limits().capacity * share.ratio() - expected())
      );
    },
  };
}

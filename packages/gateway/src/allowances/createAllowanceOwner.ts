import type { Clock, CustomerId, HostId, LogSink } from '@camphorbarrow/core';
import type { AllowanceBounds } from '../lifecycle/EntryHostOptions.js';
import type { Allowance, Customer } from '../model/Customer.js';
import { MAX_SHORT_CUSTOMERS } from './allowanceMessages.js';
import type { LoanRow, TokenGrantRow, TokenRequest, TokenRequestRow } from './allowanceMessages.js';
import type { LimitedCustomer } from './allowanceSlots.js';
import { allowanceBudget, tokenLifetimeMs } from './allowanceBudget.js';
import { createDelegatedShare } from './createDelegatedShare.js';
import { createTokenBucket } from './createTokenBucket.js';
import type { TokenBucket, TokenLimits } from './createTokenBucket.js';

/** Retry delay for a customer whose allowance this host does not know yet. */
const UNKNOWN_CUSTOMER_RETRY_MS = 500;
/** Retry delay while tokens of other regions are on the way. */
const LOAN_RETRY_MS = 180;
/** Time for which a customer for whom another region has nothing to spare is not asked for again. */
const NO_LOAN_PAUSE_MS = 1_000;
/** Time between two lines on a customer that uses up its allowance. */
const REPORT_INTERVAL_MS = 5_000;
/** Smaller differences come from the order of a sum. */
const RATIO_PRECISION = 1e-9;

const NO_LIMITS: TokenLimits = { ratePerSecond: 0, capacity: 0, debt: 0 };

export interface AllowanceOwnerOptions {
  readonly clock: Clock;
  readonly log: LogSink;
  readonly slot: number;
  readonly bounds: () => AllowanceBounds | undefined;
  /** Customers of the slot in the configuration in force. */
  readonly customers: () => readonly LimitedCustomer[];
  readonly findCustomer: (id: CustomerId) => Customer | undefined;
  readonly random: () => number;
}

/** Owner of a part of the customers' allowances, in the region of this host. */
export interface AllowanceOwner {
  /** Handles a host's delegation and request. */
  handleRequest(
    request: Pick<TokenRequest, 'from' | 'delegatedMs' | 'hostCount' | 'nextMs' | 'rows'>,
  ): readonly TokenGrantRow[];
  /** Customers whose tokens run short, so that hosts ask before they admit; all if undefined. */
  short(): readonly CustomerId[] | undefined;
  /** Whether customers have used up their tokens since the last call. */
  takeUsedUp(): boolean;
  /** Customers for whom tokens of other regions are needed. */
  missing(): readonly LoanRow[];
  /** Takes tokens for the owner of another region. */
  lend(rows: readonly LoanRow[]): readonly LoanRow[];
  /** Adds tokens from the owner of another region. */
  addLoans(rows: readonly LoanRow[]): void;
  /** Part of the fleet that delegates to this host, 0 to 1. */
  ratio(): number;
  /** Hosts that ask again only after the time, and don't hear earlier which customers run short. */
  expectedAfter(durationMs: number): readonly HostId[];
  /** Applies changes of the configuration and of the hosts that delegate. */
  update(): void;
}

interface CustomerBucket {
  readonly bucket: TokenBucket;
  readonly unit: Allowance['unit'];
  noLoanUntilMs: number;
  loanAtMs: number;
  rejectedTokens: number;
  rejections: number;
  reportedAtMs: number;
}

/** Creates an owner, which holds nothing until hosts delegate their parts of the rates to it. */
export function createAllowanceOwner(options: AllowanceOwnerOptions): AllowanceOwner {
  const { clock, log, slot, bounds, findCustomer } = options;
  const share = createDelegatedShare(clock);
  const buckets = new Map<CustomerId, CustomerBucket>();
  const shortCustomers = new Set<CustomerId>();
  /** Customers that have used up their tokens and still run short. */
  const usedUpCustomers = new Set<CustomerId>();
  let hasNewUsedUp = false;
  let appliedRatio = 0;

  function createBucket(id: CustomerId, unit: Allowance['unit']): CustomerBucket {
    let limitsOf: { allowance?: Allowance | undefined; bounds?: AllowanceBounds | undefined } = {};
    let limits: TokenLimits = NO_LIMITS;
    const bucket = createTokenBucket({
      clock,
      share,
      lifetimeMs: tokenLifetimeMs(bounds()),
      random: options.random,
      limits() {
        const allowance = findCustomer(id)?.allowance;
        const nowBounds = bounds();
        if (allowance !== limitsOf.allowance || nowBounds !== limitsOf.bounds) {
          limitsOf = { allowance, bounds: nowBounds };
          limits =
            allowance === undefined
              ? NO_LIMITS
              : {
                  ratePerSecond: allowance.ratePerSecond,
                  ...allowanceBudget(allowance, nowBounds),
                };
        }
        return limits;
      },
    });
    return {
      bucket,
      unit,
      noLoanUntilMs: -Infinity,
      loanAtMs: -Infinity,
      rejectedTokens: 0,
      rejections: 0,
      reportedAtMs: -Infinity,
    };
  }

  /** Returns undefined if the customer has no allowance in this unit. */
  function bucketOf(id: CustomerId, unit: Allowance['unit']): CustomerBucket | undefined {
    if (findCustomer(id)?.allowance?.unit !== unit) {
      return undefined;
    }
    const known = buckets.get(id);
    if (known?.unit === unit) {
      return known;
    }
    const created = createBucket(id, unit);
    buckets.set(id, created);
    return created;
  }

  /** Takes the customers' levels into account. */
  function recordLevels(ids: Iterable<CustomerId>): void {
    for (const id of ids) {
      if (buckets.get(id)?.bucket.isShort() !== true) {
        shortCustomers.delete(id);
        usedUpCustomers.delete(id);
      } else {
        shortCustomers.add(id);
      }
    }
  }

  function update(): void {
    appliedRatio = share.ratio();
    options.customers().forEach(({ id, allowance }) => {
      bucketOf(id, allowance.unit)?.bucket.update();
    });
    buckets.forEach((_, id) => {
      if (findCustomer(id)?.allowance === undefined) {
        buckets.delete(id);
      }
    });
    recordLevels(new Set([...shortCustomers, ...buckets.keys()]));
  }

  function reportRejection(id: CustomerId, entry: CustomerBucket, tokens: number): void {
    entry.rejectedTokens += tokens;
    entry.rejections += 1;
    const nowMs = clock.monotonicMs();
    if (nowMs - entry.reportedAtMs < REPORT_INTERVAL_MS) {
      return;
    }
    log.info('allowance-used-up', {
      customer: id,
      slot,
      unit: entry.unit,
      ratePerSecond: findCustomer(id)?.allowance?.ratePerSecond,
      shareRatio: Number(share.ratio().toFixed(3)),
      level: Math.round(entry.bucket.level()),
      rejections: entry.rejections,
      rejectedTokens: Math.round(entry.rejectedTokens),
    });
    entry.reportedAtMs = nowMs;
    entry.rejectedTokens = 0;
    entry.rejections = 0;
  }

  function grant(row: TokenRequestRow): TokenGrantRow {
    const { customer, unit, need, least, unused, foretold, owed } = row;
    const entry = bucketOf(customer, unit);
    if (entry === undefined) {
      return { customer, granted: 0, retryMs: UNKNOWN_CUSTOMER_RETRY_MS };
    }
    const { bucket } = entry;
    if (unused > 0) {
      bucket.putBack(unused);
    }
    const granted = need > 0 ? bucket.take(need, least, owed) : 0;
    const rest = need - granted;
    if (rest <= 0) {
      return { customer, granted, retryMs: 0 };
    }
    const retryMs = bucket.recordRejection({
      need: rest,
      foretold: Math.max(0, foretold - granted),
      largest: Math.min(rest, least),
    });
    hasNewUsedUp ||= !usedUpCustomers.has(customer);
    usedUpCustomers.add(customer);
    reportRejection(customer, entry, rest);
    const mayBorrow = clock.monotonicMs() >= entry.noLoanUntilMs;
    return { customer, granted, retryMs: mayBorrow ? Math.min(retryMs, LOAN_RETRY_MS) : retryMs };
  }

  return {
    handleRequest({ from, delegatedMs, hostCount, nextMs, rows }) {
      // What was held for hosts that no longer delegate goes before others take their place.
      if (share.ratio() < appliedRatio - RATIO_PRECISION) {
        update();
      }
      share.record(from, delegatedMs, hostCount, nextMs);
      appliedRatio = share.ratio();
      const grants = rows.map(grant);
      recordLevels(rows.map(({ customer }) => customer));
      return grants;
    },
    short() {
      recordLevels([...shortCustomers]);
      return shortCustomers.size > MAX_SHORT_CUSTOMERS ? undefined : [...shortCustomers];
    },
    takeUsedUp() {
      const hadNew = hasNewUsedUp;
      hasNewUsedUp = false;
      return hadNew;
    },
    missing() {
      const nowMs = clock.monotonicMs();
      return [...buckets].flatMap(([customer, { bucket, unit, noLoanUntilMs }]) => {
        const amount = nowMs < noLoanUntilMs ? 0 : bucket.missing();
        return amount > 0 ? [{ customer, unit, amount }] : [];
      });
    },
    lend(rows) {
      const loans = rows.map(({ customer, unit, amount }) => ({
        customer,
        unit,
        amount: bucketOf(customer, unit)?.bucket.lend(amount) ?? 0,
      }));
      recordLevels(rows.map(({ customer }) => customer));
      return loans;
    },
    addLoans(rows) {
      rows.forEach(({ customer, unit, amount }) => {
        const entry = bucketOf(customer, unit);
        if (entry === undefined) {
          return;
        }
        const nowMs = clock.monotonicMs();
        if (amount > 0) {
          entry.bucket.addLoan(amount);
          entry.loanAtMs = nowMs;
          entry.noLoanUntilMs = -Infinity;
        } else if (nowMs - entry.loanAtMs > NO_LOAN_PAUSE_MS) {
          entry.noLoanUntilMs = nowMs + NO_LOAN_PAUSE_MS;
        }
      });
    },
    ratio: share.ratio,
    expectedAfter: share.expectedAfter,
    update,
  };
}

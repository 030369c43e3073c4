import type { Clock } from '@camphorbarrow/core';
import type { AllowanceDecision, AllowanceShare } from './Allowances.js';
import { createTokenPool } from './createTokenPool.js';
import type { TakenTokens } from './createTokenPool.js';

/** Longest wait for an answer; covers the failure of an owner and the next one's answer. */
const MAX_ANSWER_WAIT_MS = 900;
/** Longest wait of a request for room that an owner foretells. */
const MAX_ROOM_WAIT_MS = 600;
/** Pause until an owner is asked again for what was used on credit, longer if it has no tokens. */
const MIN_PAY_PAUSE_MS = 150;
const MAX_PAY_PAUSE_MS = 500;
/** Time after which an owner is asked again for what was used; its answer may be lost. */
const MAX_DEBT_ANSWER_MS = 400;
/** Retry delays, at random, when no owner answers. */
const MIN_NO_ANSWER_RETRY_MS = 500;
const MAX_NO_ANSWER_RETRY_MS = 1_500;

/** Answer of an owner to the requests of this host for a customer. */
export interface AccountGrant {
  readonly granted: number;
  /** Monotonic time after which the granted tokens are void. */
  readonly expiresAtMs: number;
  /** Time until the owner has room for the rest; 0 if there is no rest. */
  readonly retryMs: number;
  /** Monotonic time at which the owner was asked. */
  readonly askedAtMs: number;
  readonly share: AllowanceShare;
}

/** Tokens that requests of a host may use before an owner has granted them. */
export interface HostCredit {
  /** At any time. */
  readonly usual: number;
  /** Beside that in calm, and when no owner answers in time. */
  readonly calm: number;
  /** Whether the owner has told a moment ago that it has enough tokens. */
  readonly isCalm: boolean;
}

/** Requests of a customer at this host that wait for tokens, and the tokens that are left. */
export interface CustomerAccount {
  take(cost: number): Promise<AllowanceDecision> | AllowanceDecision;
  /** Tokens that are lacking for waiting and admitted requests, to be asked for now; 0 if none. */
  need(): number;
  /** Whether requests wait for tokens that are to be asked for now. */
  isWaiting(): boolean;
  /** Part of the credit that admitted requests used and that is still to be asked for; may be above 1. */
  usedCreditRatio(): number;
  /** Least number of tokens that is of use. */
  least(): number;
  /** Tokens that admitted requests used, of those to be asked for now. */
  owed(): number;
  /** Tokens for waiting requests for which an owner has foretold room. */
  foretold(): number;
  /** Records that an owner was asked for what the host lacks. */
  recordQuestion(): void;
  applyGrant(grant: AccountGrant): void;
  /** Rejects requests that have waited for too long. */
  endWaits(): void;
  /** Removes tokens that no request needs, to be returned to the owner. */
  removeUnused(): number;
  /** Drops all tokens and rejects the waiting requests. */
  close(): void;
  isIdle(): boolean;
}

interface WaitingRequest {
  readonly cost: number;
  readonly sinceMs: number;
  /** Whether an owner has foretold when there will be room. */
  isForetold: boolean;
  settle(decision: AllowanceDecision): void;
}

/** Request that was admitted ahead of a grant. */
interface CreditUse {
  /** Tokens that are still to be granted. */
  unpaid: number;
  /** Tokens that the request took from the pool, or was granted since. */
  paid: readonly TakenTokens[];
}

export interface CustomerAccountOptions {
  readonly clock: Clock;
  /** A number in [0, 1), which spreads retries. */
  readonly random: () => number;
  readonly credit: () => HostCredit;
}

/** Creates an account without tokens. */
export function createCustomerAccount(options: CustomerAccountOptions): CustomerAccount {
  const { clock, random, credit } = options;
  const pool = createTokenPool(clock);
  /** Requests whose tokens are still to be granted, the earliest first. */
  let creditUses: readonly CreditUse[] = [];
  /** Sum of these tokens. */
  let debt = 0;
  /** Part of the debt that the open questions ask for. */
  let askedDebt = 0;
  let askedDebtUntilMs = -Infinity;
  let payAgainAtMs = -Infinity;
  let waiting: readonly WaitingRequest[] = [];
  let askAgainAtMs = -Infinity;

  const waitingCost = (): number => waiting.reduce((sum, { cost }) => sum + cost, 0);

  const debtToAsk = (): number =>
    clock.monotonicMs() < askedDebtUntilMs ? Math.max(0, debt - askedDebt) : debt;

  const costToAsk = (): number => (clock.monotonicMs() < askAgainAtMs ? 0 : waitingCost());

  /** Debt that is asked for with what waits, or when it is time. */
  const debtToAskNow = (): number =>
    costToAsk() > 0 || clock.monotonicMs() >= payAgainAtMs ? debtToAsk() : 0;

  const admit = ({ amount, expiresAtMs }: TakenTokens): AllowanceDecision => ({
    kind: 'admitted',
    // Tokens that were away for longer no longer count as held by the owner.
    refund: () => pool.add(amount, expiresAtMs),
  });

  /** Admits a request for which the tokens are asked for later; undefined if the credit is used up. */
  function admitOnCredit(cost: number, hasWaited: boolean): AllowanceDecision | undefined {
    const missing = cost - pool.level();
    const { usual, calm, isCalm } = credit();
    const limit = isCalm || hasWaited ? usual + calm : usual;
    if (debt + missing > limit) {
      return undefined;
    }
    const taken = pool.take(cost - missing);
    const use: CreditUse = { unpaid: missing, paid: taken === undefined ? [] : [taken] };
    creditUses = [...creditUses, use];
    debt += missing;
    return {
      kind: 'admitted',
      refund() {
        // Tokens that were granted for it may be void by now, and pay for no other request.
        use.paid.forEach(({ amount, expiresAtMs }) => pool.add(amount, expiresAtMs));
        use.paid = [];
        debt -= use.unpaid;
        use.unpaid = 0;
        creditUses = creditUses.filter(({ unpaid }) => unpaid > 0);
      },
    };
  }

  /** Pays for what was used, the earliest first. Returns the rest of the amount. */
  function pay(amount: number, expiresAtMs: number): number {
    let rest = amount;
    creditUses.forEach((use) => {
      const paid = Math.min(use.unpaid, rest);
      if (paid > 0) {
        use.paid = [...use.paid, { amount: paid, expiresAtMs }];
        use.unpaid -= paid;
        rest -= paid;
      }
    });
    creditUses = creditUses.filter(({ unpaid }) => unpaid > 0);
    debt = creditUses.reduce((sum, { unpaid }) => sum + unpaid, 0);
    return rest;
  }

  function admitWaiting(): void {
    while (waiting[0] !== undefined) {
      const taken = pool.take(waiting[0].cost);
      if (taken === undefined) {
        return;
      }
      waiting[0].settle(admit(taken));
      waiting = waiting.slice(1);
    }
  }

  /** Rejects the requests that can not wait until there is room, the later ones with a longer delay. */
  function rejectUnservable({ retryMs, askedAtMs, share }: AccountGrant): void {
    const nowMs = clock.monotonicMs();
    const totalCost = waitingCost();
    let costSoFar = 0;
    waiting = waiting.filter(({ cost, sinceMs, settle }) => {
      costSoFar += cost;
      // The owner was not asked for requests that came later.
      if (sinceMs > askedAtMs || nowMs + retryMs - sinceMs <= MAX_ROOM_WAIT_MS) {
        return true;
      }
      const retryAfterMs = retryMs * (0.5 + (0.5 * costSoFar) / totalCost);
      settle({ kind: 'rejected', retryAfterMs, share });
      return false;
    });
  }

  /** Ends the waits of earlier requests, with credit if there is any. */
  function endWaitsBefore(latestMs: number): void {
    const retryRangeMs = MAX_NO_ANSWER_RETRY_MS - MIN_NO_ANSWER_RETRY_MS;
    waiting = waiting.filter(({ cost, sinceMs, settle }) => {
      if (sinceMs > latestMs) {
        return true;
      }
      const admitted = latestMs === Infinity ? undefined : admitOnCredit(cost, true);
      if (admitted !== undefined) {
        settle(admitted);
        return false;
      }
      const retryAfterMs = MIN_NO_ANSWER_RETRY_MS + retryRangeMs * random();
      settle({ kind: 'rejected', retryAfterMs, share: 'unknown' });
      return false;
    });
  }

  return {
    take(cost) {
      admitWaiting();
      if (waiting.length === 0) {
        const taken = pool.take(cost);
        const admitted = taken === undefined ? admitOnCredit(cost, false) : admit(taken);
        if (admitted !== undefined) {
          return admitted;
        }
      }
      return new Promise((resolve) => {
        const sinceMs = clock.monotonicMs();
        waiting = [...waiting, { cost, sinceMs, isForetold: false, settle: resolve }];
      });
    },
    need() {
      admitWaiting();
      return Math.max(0, costToAsk() + debtToAskNow() - pool.level());
    },
    owed: () => Math.max(0, debtToAskNow() - Math.max(0, pool.level() - costToAsk())),
    recordQuestion() {
      askedDebt = debt;
      askedDebtUntilMs = clock.monotonicMs() + MAX_DEBT_ANSWER_MS;
    },
    applyGrant(grant) {
      askedDebt = 0;
      // What was used already is paid by late tokens, too.
      pool.add(pay(grant.granted, grant.expiresAtMs), grant.expiresAtMs);
      admitWaiting();
      const pauseMs = Math.max(MIN_PAY_PAUSE_MS, Math.min(grant.retryMs, MAX_PAY_PAUSE_MS));
      payAgainAtMs = clock.monotonicMs() + pauseMs;
      if (grant.retryMs > 0) {
        rejectUnservable(grant);
      }
      const forRoom = waiting.filter(({ sinceMs }) => sinceMs <= grant.askedAtMs);
      forRoom.forEach((request) => {
        request.isForetold ||= grant.retryMs > 0;
      });
      askAgainAtMs = forRoom.length > 0 ? clock.monotonicMs() + grant.retryMs : -Infinity;
    },
    isWaiting() {
      admitWaiting();
      return waiting.length > 0 && clock.monotonicMs() >= askAgainAtMs;
    },
    usedCreditRatio() {
      const used = debtToAsk();
      if (used === 0) {
        return 0;
      }
      const { usual, calm, isCalm } = credit();
      return used / (isCalm ? usual + calm : usual);
    },
    least: () => (costToAsk() > 0 ? Math.max(0, (waiting[0]?.cost ?? 0) - pool.level()) : 0),
    foretold: () => waiting.reduce((sum, { cost, isForetold }) => sum + (isForetold ? cost : 0), 0),
    endWaits: () => endWaitsBefore(clock.monotonicMs() - MAX_ANSWER_WAIT_MS),
    removeUnused: () => pool.removeBeyond(waitingCost()),
    close() {
      pool.clear();
      creditUses.forEach((use) => {
        use.unpaid = 0;
      });
      creditUses = [];
      debt = 0;
      endWaitsBefore(Infinity);
    },
    isIdle: () => waiting.length === 0 && pool.level() === 0 && debt === 0,
  };
}

import type { Clock } from '@camphorbarrow/core';

/** Tokens that were taken together. */
export interface TakenTokens {
  readonly amount: number;
  readonly expiresAtMs: number;
}

/** Tokens of a customer that an owner granted to this host. */
export interface TokenPool {
  /** @param expiresAtMs monotonic time after which the tokens are void */
  add(amount: number, expiresAtMs: number): void;
  /** Takes the amount, those that expire first; undefined if there are fewer. */
  take(amount: number): TakenTokens | undefined;
  /** Removes all tokens beyond the amount and returns how many. */
  removeBeyond(amount: number): number;
  level(): number;
  clear(): void;
}

export function createTokenPool(clock: Clock): TokenPool {
  /** In the order in which they expire. */
  let grants: readonly TakenTokens[] = [];

  function level(): number {
    const nowMs = clock.monotonicMs();
    grants = grants.filter(({ expiresAtMs }) => expiresAtMs > nowMs);
    return grants.reduce((sum, { amount }) => sum + amount, 0);
  }

  /** Returns the earliest expiry of the removed tokens. */
  function remove(amount: number): number {
    let rest = amount;
    const earliestMs = grants[0]?.expiresAtMs ?? -Infinity;
    grants = grants.flatMap((grant) => {
      const removed = Math.min(grant.amount, rest);
      rest -= removed;
      return removed < grant.amount ? [{ ...grant, amount: grant.amount - removed }] : [];
    });
    return earliestMs;
  }

  return {
    add(amount, expiresAtMs) {
      if (amount > 0 && expiresAtMs > clock.monotonicMs()) {
        grants = [...grants, { amount, expiresAtMs }].sort((a, b) => a.expiresAtMs - b.expiresAtMs);
      }
    },
    take: (amount) => (level() < amount ? undefined : { amount, expiresAtMs: remove(amount) }),
    removeBeyond(amount) {
      const excess = Math.max(0, level() - amount);
      remove(excess);
      return excess;
    },
    level,
    clear() {
      grants = [];
    },
  };
}

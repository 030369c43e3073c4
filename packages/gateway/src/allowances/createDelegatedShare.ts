import type { Clock, HostId } from '@camphorbarrow/core';

/** A host counts for so long after it was expected to delegate again; a message may be lost. */
const MAX_LATE_MS = 600;
/** Longest time that one message delegates. */
export const MAX_DELEGATED_MS = 1_000;

/** Share of the fleet's rate that hosts have delegated to an owner. */
export interface DelegatedShare {
  /**
   * Records a delegation.
   *
   * @param durationMs time for which the host delegates its part of the rate
   * @param hostCount number of hosts that share the rate
   * @param nextMs time after which the host delegates again
   */
  record(host: HostId, durationMs: number, hostCount: number, nextMs: number): void;
  /** Time for which the owner had the whole rate, in ms; it advances with each delegation. */
  creditMs(): number;
  /** Time for which the owner will get the whole rate at the next delegations, in ms. */
  expectedMs(): number;
  /** Part of the fleet that delegates to the owner, 0 to 1. */
  ratio(): number;
  /** Hosts that delegate again only after the time. */
  expectedAfter(durationMs: number): readonly HostId[];
}

/**
 * Creates the share of an owner. Only hosts create tokens, each its part of the rate, and each hands its
 * part to one owner at a time. So the owners together never have more than the rate, whichever of them
 * reach each other.
 */
export function createDelegatedShare(clock: Clock): DelegatedShare {
  const delegations = new Map<
    HostId,
    { readonly atMs: number; readonly nextAtMs: number; readonly part: number }
  >();
  let creditMs = 0;
  let ratio = 0;
  /** Mean time of the latest delegations, times their parts of the fleet. */
  let weightedAtMs = 0;
  /** Time until which no host is late. */
  let ratioUntilMs = Infinity;

  function updateRatio(): void {
    const sinceMs = clock.monotonicMs() - MAX_LATE_MS;
    let sum = 0;
    let earliestMs = Infinity;
    weightedAtMs = 0;
    delegations.forEach(({ atMs, nextAtMs, part }, host) => {
      if (nextAtMs < sinceMs) {
        delegations.delete(host);
      } else {
        sum += part;
        weightedAtMs += part * atMs;
        earliestMs = Math.min(earliestMs, nextAtMs);
      }
    });
    ratio = sum;
    ratioUntilMs = earliestMs + MAX_LATE_MS;
  }

  function currentRatio(): number {
    if (clock.monotonicMs() > ratioUntilMs) {
      updateRatio();
    }
    return ratio;
  }

  return {
    record(host, durationMs, hostCount, nextMs) {
      const part = 1 / Math.max(1, hostCount);
      creditMs += Math.min(MAX_DELEGATED_MS, durationMs) * part;
      const atMs = clock.monotonicMs();
      delegations.set(host, { atMs, nextAtMs: atMs + Math.min(MAX_DELEGATED_MS, nextMs), part });
      updateRatio();
    },
    creditMs: () => creditMs,
    expectedMs: () => currentRatio() * clock.monotonicMs() - weightedAtMs,
    ratio: () => Math.min(1, currentRatio()),
    expectedAfter(durationMs) {
      const atMs = clock.monotonicMs() + durationMs;
      return [...delegations].filter(([, { nextAtMs }]) => nextAtMs > atMs).map(([host]) => host);
    },
  };
}

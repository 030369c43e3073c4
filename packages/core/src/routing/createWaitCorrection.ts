import type { Rank } from '../requests/Rank.js';

/**
 * Recent average excess of the observed over the estimated time to the first token in the region.
 */
export interface WaitCorrection {
  /** Records the error of one estimate: observed minus estimated time to the first token. */
  observe(rank: Rank, errorMs: number, nowMs: number): void;
  waitMs(rank: Rank, nowMs: number): number;
}

interface Correction {
  readonly waitMs: number;
  readonly atMs: number;
}

const SAMPLE_WEIGHT = 0.3;
/** Time constant of the exponential decay without new observations. */
const DECAY_MS = 15_000;
const MAX_WAIT_MS = 60_000;

/**
 * Creates the correction of the local estimate for the comparison with other regions. It is not
 * used to choose between servers: observations arrive only after the wait that they measure, so the
 * choice would oscillate.
 */
export function createWaitCorrection(): WaitCorrection {
  const corrections = new Map<Rank, Correction>();

  function waitMs(rank: Rank, nowMs: number): number {
    const existing = corrections.get(rank);
    return existing === undefined
      ? 0
      : existing.waitMs * Math.exp((existing.atMs - nowMs) / DECAY_MS);
  }

  return {
    waitMs,
    observe(rank, errorMs, nowMs) {
      const before = waitMs(rank, nowMs);
      const after = before + SAMPLE_WEIGHT * (errorMs - before);
      corrections.set(rank, { waitMs: Math.min(MAX_WAIT_MS, Math.max(0, after)), atMs: nowMs });
    },
  };
}

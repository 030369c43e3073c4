import type { Rank } from '../requests/Rank.js';

/** Wait for the first token beyond the estimates, as seen lately in the whole region. */
export interface WaitCorrection {
  /** Takes the error of one estimate: observed minus estimated first token. */
  observe(rank: Rank, errorMs: number, nowMs: number): void;
  waitMs(rank: Rank, nowMs: number): number;
}

interface Correction {
  readonly waitMs: number;
  readonly atMs: number;
}

const WEIGHT_OF_NEW_SAMPLE = 0.3;
/** Without new observations the correction fades with this time constant. */
const DECAY_MS = 15_000;
const MAX_WAIT_MS = 60_000;

/**
 * Creates the correction that other regions are compared with. It is not used to choose between
 * servers: observations arrive after the wait they describe, so the choice would oscillate.
 */
export function createWaitCorrection(): WaitCorrection {
  const corrections = new Map<Rank, Correction>();

  function waitMs(rank: Rank, nowMs: number): number {
    const known = corrections.get(rank);
    return known === undefined ? 0 : known.waitMs * Math.exp((known.atMs - nowMs) / DECAY_MS);
  }

  return {
    waitMs,
    observe(rank, errorMs, nowMs) {
      const before = waitMs(rank, nowMs);
      const after = before + WEIGHT_OF_NEW_SAMPLE * (errorMs - before);
      corrections.set(rank, { waitMs: Math.min(MAX_WAIT_MS, Math.max(0, after)), atMs: nowMs });
    },
  };
}

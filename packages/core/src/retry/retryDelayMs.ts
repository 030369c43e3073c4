import type { RandomSource } from '../ports/RandomSource.js';

const BASE_DELAY_MS = 50;
const MAX_DELAY_MS = 1_000;

/**
 * Exponential backoff with full jitter: uniform between zero and a limit that doubles with every
 * failed attempt, so that requests that failed at the same time are not retried at the same time.
 */
export function retryDelayMs(failedAttempts: number, random: RandomSource): number {
  const limitMs = Math.min(MAX_DELAY_MS, BASE_DELAY_MS * 2 ** (failedAttempts - 1));
  return random.next() * limitMs;
}

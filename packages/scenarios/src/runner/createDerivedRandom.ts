import { createHash } from 'node:crypto';
import { createSeededRandom } from '@camphorbarrow/core';
import type { RandomSource } from '@camphorbarrow/core';

/** The generator's first numbers are alike for neighbouring seeds. */
const DISCARDED_NUMBERS = 8;

/**
 * Generator for one part of a run, for example a step or a call. Its numbers do not depend on how
 * many numbers other parts, which run at the same time, have taken.
 */
export function createDerivedRandom(seed: number, part: string): RandomSource {
  const digest = createHash('sha256').update(`${seed}/${part}`).digest();
  const random = createSeededRandom(digest.readInt32BE());
  for (let count = 0; count < DISCARDED_NUMBERS; count += 1) {
    random.next();
  }
  return random;
}

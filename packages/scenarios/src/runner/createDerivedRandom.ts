import { createHash } from 'node:crypto';
import { createSeededRandom } from '@camphorbarrow/core';
import type { RandomSource } from '@camphorbarrow/core';

/** The first numbers of the generator are discarded: they are similar for adjacent seeds. */
const DISCARDED_NUMBERS = 8;

/**
 * Creates the random source of one part of a run, for example a step or a call. Its numbers do not
 * depend on how many numbers other, concurrent parts have drawn.
 */
export function createDerivedRandom(seed: number, part: string): RandomSource {
  const digest = createHash('sha256').update(`${seed}/${part}`).digest();
  const random = createSeededRandom(digest.readInt32BE());
  for (let count = 0; count < DISCARDED_NUMBERS; count += 1) {
    random.next();
  }
  return random;
}

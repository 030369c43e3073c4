import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomSource } from '../ports/RandomSource.js';

/** Creates a seeded random generator for tests, experiments and the daemon. */
export function createSeededRandom(seed: number): RandomSource {
  const generator = xoroshiro128plus(seed);
  return { next: () => uniformFloat64(generator) };
}

import type { RandomSource } from '../ports/RandomSource.js';

/** Copy of a list in random order (Fisher–Yates shuffle). */
export function shuffle<Item>(items: readonly Item[], random: RandomSource): Item[] {
  const result = [...items];
  for (let last = result.length - 1; last > 0; last -= 1) {
    const other = Math.floor(random.next() * (last + 1));
    [result[last], result[other]] = [result[other] as Item, result[last] as Item];
  }
  return result;
}

import { compareWholeNumbers } from '@camphorbarrow/core';
import type { StorePosition } from '../model/StorePosition.js';

/** Returns a negative number if `a` is before `b`, 0 if they are equal, otherwise a positive one. */
export function compareStorePositions(a: StorePosition, b: StorePosition): number {
  return compareWholeNumbers(a.era, b.era) || compareWholeNumbers(a.revision, b.revision);
}

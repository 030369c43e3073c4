import { encodeWholeNumber } from '@camphorbarrow/core';
import type { StorePosition } from './StorePosition.js';

/** Position for a log line, which holds no `bigint`. */
export const printPosition = ({
  era,
  revision,
}: StorePosition): { readonly era: number | string; readonly revision: number | string } => ({
  era: encodeWholeNumber(era),
  revision: encodeWholeNumber(revision),
});

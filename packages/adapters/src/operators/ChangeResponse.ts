import type { ConfigChangeResult } from '@camphorbarrow/core';

/** Answer to an operator's change; a refused change was not made. */
export type ChangeResponse =
  | ConfigChangeResult
  | { readonly outcome: 'refused'; readonly code: string; readonly message: string };

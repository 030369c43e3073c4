import type { ConfigChangeResult } from '@camphorbarrow/core';

/** Response to an operator's change; `refused` means that the change was not made. */
export type ChangeResponse =
  | ConfigChangeResult
  | { readonly outcome: 'refused'; readonly code: string; readonly message: string };

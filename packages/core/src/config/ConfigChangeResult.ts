import type { HostId } from '../ids/HostId.js';
import type { ConfigRevision } from './ConfigRevision.js';

/** The change that was applied in place of a conflicting one. */
export interface WinningChange extends ConfigRevision {
  /** Undefined when the document's history has no entry for its last change. */
  readonly author: string | undefined;
}

/**
 * Result of a proposal that was evaluated. One that is rejected earlier throws a
 * `ConfigChangeError`.
 */
export type ConfigChangeResult =
  | {
      readonly outcome: 'accepted';
      readonly revision: ConfigRevision;
      /** Entry hosts that confirmed this change or a newer one. */
      readonly told: readonly HostId[];
      /** Known entry hosts that did not confirm; they receive the change later. */
      readonly notReached: readonly HostId[];
    }
  /** The change was not applied: it conflicts with a newer one. */
  | { readonly outcome: 'lost'; readonly against: WinningChange }
  /** The store did not confirm whether the change was written. */
  | { readonly outcome: 'unknown'; readonly changeId: string };

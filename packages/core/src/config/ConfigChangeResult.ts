import type { HostId } from '../ids/HostId.js';
import type { ConfigRevision } from './ConfigRevision.js';

/** The change another one lost against. */
export interface WinningChange extends ConfigRevision {
  /** Undefined when the document has no history entry for its last change. */
  readonly author: string | undefined;
}

/** Result of a proposal that was examined; a refusal before that is a `ConfigChangeError`. */
export type ConfigChangeResult =
  | {
      readonly outcome: 'accepted';
      readonly revision: ConfigRevision;
      /** Entry hosts that confirmed the change or a newer one. */
      readonly told: readonly HostId[];
      /** Known entry hosts that did not confirm; they learn of the change later. */
      readonly notReached: readonly HostId[];
    }
  /** The change has no effect. */
  | { readonly outcome: 'lost'; readonly against: WinningChange }
  /** The store did not say whether the change was written. */
  | { readonly outcome: 'unknown'; readonly changeId: string };

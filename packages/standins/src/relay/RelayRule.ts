/**
 * Effect on bytes in one direction. `from` and `to` are the name of a process, a region or `*`.
 * A later rule's delay replaces the delay of earlier ones; any matching cut applies.
 */
export interface RelayRule {
  readonly from: string;
  readonly to: string;
  readonly delayMs?: number;
  /**
   * `silent`: nothing passes until the rule is removed, new connections stay unanswered. `reset`:
   * open and new connections are reset.
   */
  readonly cut?: 'silent' | 'reset';
}

/**
 * Rule for the traffic in one direction. `from` and `to` are the name of a process, a region or
 * `*`. The delay of a later rule overrides that of earlier ones. Of several matching
 * cuts, the earliest determines the mode.
 */
export interface RelayRule {
  readonly from: string;
  readonly to: string;
  readonly delayMs?: number;
  /**
   * `silent`: nothing is forwarded until the rule is removed, on open and new connections.
   * `reset`: open and new connections are reset.
   */
  readonly cut?: 'silent' | 'reset';
}

/** What the operator's entry becomes. The first ones can be read, the others cannot. */
export type EntryKind =
  | 'next'
  | 'version-far-ahead'
  | 'long-duration'
  | 'many-routes'
  | 'cut'
  | 'other-shape'
  | 'no-version';

/** Hosts that are killed together. */
export type KillScope = 'none' | 'north' | 'south' | 'all-but-one' | 'all';

/** How the links to the store behave until all hosts are ready again. */
export interface StoreLinkShape {
  readonly bytesPerSecond: number;
  /** Delay of each response. */
  readonly delayMs: number;
}

/** One write of the operator, with what happens to the hosts right after it. */
export interface ConfigurationStep {
  readonly entry: EntryKind;
  readonly kill: KillScope;
  /** Time from the write to the kill. */
  readonly killAfterMs: number;
  /** Time from the kill to the start of the hosts. */
  readonly restartAfterMs: number;
  readonly link: StoreLinkShape;
}

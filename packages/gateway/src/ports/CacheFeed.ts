import type { ServerState } from '../model/ServerState.js';

/** One prompt part of which an engine now keeps so many tokens; none when it was evicted. */
export interface CacheChange {
  readonly partId: string;
  readonly keptTokens: number;
}

export interface CacheUpdate {
  /** Changes when the engine restarts and forgets all. */
  readonly epoch: string;
  /** Where the next call goes on. */
  readonly next: number;
  /** Whether changes before these were missed. */
  readonly lost: boolean;
  readonly changes: readonly CacheChange[];
}

/** Tells what engines have cached; late, and not all of it. */
export interface CacheFeed {
  /**
   * Waits for changes after `since`, or for `waitMs`.
   *
   * @throws InvalidMessageError when the engine does not answer as expected
   */
  waitForUpdate(server: ServerState, since: number, waitMs: number): Promise<CacheUpdate>;
}

import type { ServerState } from '../model/ServerState.js';

/** New number of cached tokens of a prompt part on an engine; 0 after an eviction. */
export interface CacheChange {
  readonly partId: string;
  readonly keptTokens: number;
}

/** Changes to the prefix cache of an engine. */
export interface CacheUpdate {
  /** Changes when the engine restarts and loses its cache. */
  readonly epoch: string;
  /** Value of `since` for the next call. */
  readonly next: number;
  /** Whether earlier changes were missed. */
  readonly lost: boolean;
  readonly changes: readonly CacheChange[];
}

/** Reports the cache contents of engines, with a delay and possibly incomplete. */
export interface CacheFeed {
  /**
   * Waits until there are changes after `since`, but at most for `waitMs`.
   *
   * @throws InvalidMessageError if the engine's response is not as expected
   */
  waitForUpdate(server: ServerState, since: number, waitMs: number): Promise<CacheUpdate>;
}

import type { ConfigOperation } from './ConfigOperation.js';

/** A change proposed by an operator. */
export interface ConfigChange {
  /** Chosen by the proposer; a change proposed again under the same id takes effect once. */
  readonly changeId: string;
  /** Name of the operator. */
  readonly author: string;
  /** Why the change is made, for the history. */
  readonly reason: string;
  /**
   * Version the change was prepared against. The change is rejected when a newer one is in force.
   * When undefined, additions and removals of exceptions apply to whatever is in force, and
   * replacements to the version in force when the proposal arrives.
   */
  readonly basedOnVersion: number | undefined;
  readonly operation: ConfigOperation;
}

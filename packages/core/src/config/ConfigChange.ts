import type { ConfigOperation } from './ConfigOperation.js';

/** A configuration change proposed by an operator. */
export interface ConfigChange {
  /**
   * Chosen by the proposer. A change that is proposed again with the same id is applied only once.
   */
  readonly changeId: string;
  /** Name of the operator. */
  readonly author: string;
  /** Reason for the change, recorded in the history. */
  readonly reason: string;
  /**
   * Version the change was prepared against. The change is rejected when the current version is
   * newer. When undefined, an added or removed exception is applied to whichever version is current
   * when it is written, and a replacement to the version that is current when the proposal arrives.
   */
  readonly basedOnVersion: number | undefined;
  readonly operation: ConfigOperation;
}

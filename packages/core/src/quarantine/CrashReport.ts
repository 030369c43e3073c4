import type { Fingerprint } from '../ids/Fingerprint.js';
import type { Incarnation } from '../ids/Incarnation.js';
import type { ServerId } from '../ids/ServerId.js';

/**
 * One crash of a backend server and the requests that were running on it. Entry hosts of a region
 * exchange these reports; they hold keyed hashes and no text.
 */
export interface CrashReport {
  readonly serverId: ServerId;
  /** Process lifetime of the server that ended. */
  readonly incarnation: Incarnation;
  readonly running: readonly Fingerprint[];
  /** Those of `running` that an earlier crash had made suspects. */
  readonly suspects: readonly Fingerprint[];
}

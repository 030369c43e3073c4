import type { Fingerprint } from '../ids/Fingerprint.js';
import type { Incarnation } from '../ids/Incarnation.js';
import type { PromptPartKey } from '../ids/PromptPartKey.js';
import type { ServerId } from '../ids/ServerId.js';

/**
 * A crash of a backend server and the requests that were running on it. The entry hosts of a region
 * exchange these reports. They contain keyed hashes of the requests and no request text.
 */
export interface CrashReport {
  readonly serverId: ServerId;
  /** Incarnation of the server process that crashed. */
  readonly incarnation: Incarnation;
  readonly running: readonly Fingerprint[];
  /** Requests of `running` that were already suspects because of an earlier crash. */
  readonly suspects: readonly Fingerprint[];
  /** Shared prompt parts of running requests without a response. @default none */
  readonly parts?: readonly PromptPartKey[] | undefined;
  /** Parts of `parts` that were already suspects when their request was sent. @default none */
  readonly trialParts?: readonly PromptPartKey[] | undefined;
}

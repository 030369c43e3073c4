import type { Fingerprint } from '../ids/Fingerprint.js';
import type { Incarnation } from '../ids/Incarnation.js';
import type { PromptPartKey } from '../ids/PromptPartKey.js';
import type { ServerId } from '../ids/ServerId.js';

/**
 * A crash of a backend server and the requests that were running on it. Entry hosts exchange these
 * reports. They contain keyed hashes of the requests and no request text.
 */
export interface CrashReport {
  readonly serverId: ServerId;
  /** Incarnation of the server process that crashed. */
  readonly incarnation: Incarnation;
  /** Time since the crash. @default 0 */
  readonly ageMs?: number | undefined;
  readonly running: readonly Fingerprint[];
  /** Number of running requests if `running` does not list all of them. @default its length */
  readonly runningCount?: number | undefined;
  /** Requests of `running` that were suspects of an earlier crash when they were sent. */
  readonly suspects: readonly Fingerprint[];
  /** Number of suspects if `suspects` does not list all of them. @default its length */
  readonly suspectCount?: number | undefined;
  /** Shared prompt parts of running requests without a response. @default none */
  readonly parts?: readonly PromptPartKey[] | undefined;
  /** Parts of `parts` that were already suspects when their request was sent. @default none */
  readonly trialParts?: readonly PromptPartKey[] | undefined;
}

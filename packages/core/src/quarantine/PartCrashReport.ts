import type { PromptPartKey } from '../ids/PromptPartKey.js';

/** A crash of a backend server and the prompt parts of requests whose responses had not started. */
export interface PartCrashReport {
  /** Identifies the crashed process; all hosts that report the crash use the same id. */
  readonly crashId: string;
  readonly ageMs: number;
  readonly parts: readonly PromptPartKey[];
  /** Parts that were already suspects when their request was sent. */
  readonly trialParts: readonly PromptPartKey[];
}

/** Time since a response last started on a prompt that contains the part. */
export interface PartServedReport {
  readonly part: PromptPartKey;
  readonly ageMs: number;
}

/** What one entry host tells the others about prompt parts and crashes. */
export interface PartEvidence {
  readonly crashes: readonly PartCrashReport[];
  readonly served: readonly PartServedReport[];
}

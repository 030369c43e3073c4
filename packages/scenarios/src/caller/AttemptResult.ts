import type { CallLabel } from '../history/CallLabel.js';

/** Result of one attempt as its caller sees it. Durations are measured from the start of the attempt. */
export interface AttemptResult {
  readonly label: CallLabel;
  readonly host: string | undefined;
  readonly statusCode?: number | undefined;
  readonly code?: string | undefined;
  readonly text?: string | undefined;
  readonly firstByteMs?: number | undefined;
  readonly totalMs: number;
  /** Longest time without an event in a stream. */
  readonly maxGapMs?: number | undefined;
}

import type { CallLabel } from '../history/CallLabel.js';

/** What a caller saw of one attempt. Durations start when the attempt starts. */
export interface AttemptResult {
  readonly label: CallLabel;
  readonly host: string | undefined;
  readonly statusCode?: number | undefined;
  readonly code?: string | undefined;
  readonly text?: string | undefined;
  readonly firstByteMs?: number | undefined;
  readonly totalMs: number;
  /** Longest time between two events of a stream. */
  readonly maxGapMs?: number | undefined;
}

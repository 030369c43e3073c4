import type { LatencySummary } from './LatencySummary.js';

/** Results of the requests of one rank, or of the service calls. */
export interface ClassSummary {
  readonly requests: number;
  /** Complete responses that met their deadline and, for inference, the targets of their rank. */
  readonly good: number;
  readonly goodPerSecond: number;
  readonly goodRatio: number;
  /** Good responses times the worth of their rank in the fleet defaults; 0 for service calls. */
  readonly worth: number;
  /** Prompt and output tokens of good responses. */
  readonly goodTokens: number;
  readonly firstToken: LatencySummary;
  readonly betweenTokens: LatencySummary;
  readonly errors: Readonly<Record<string, number>>;
}

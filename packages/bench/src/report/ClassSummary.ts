import type { LatencySummary } from './LatencySummary.js';

/** Results of the requests of one rank, or of the service calls. */
export interface ClassSummary {
  readonly requests: number;
  /** Complete responses that met their deadline, first-token target and between-tokens target. */
  readonly good: number;
  readonly goodPerSecond: number;
  readonly goodRatio: number;
  /** Good responses times the worth of the rank in the fleet defaults of the deployment. */
  readonly worth: number;
  /** Prompt and output tokens of good responses. */
  readonly goodTokens: number;
  readonly firstToken: LatencySummary;
  readonly betweenTokens: LatencySummary;
  readonly errors: Readonly<Record<string, number>>;
}

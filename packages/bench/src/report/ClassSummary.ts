import type { LatencySummary } from './LatencySummary.js';

/** Results of the requests of one rank, or of the service calls. */
export interface ClassSummary {
  readonly requests: number;
  /** Complete answers that met first-token target, deadline and token distance. */
  readonly good: number;
  readonly goodPerSecond: number;
  readonly goodRatio: number;
  /** Good answers times the worth of the rank in the deployment's fleet defaults. */
  readonly worth: number;
  /** Prompt and output tokens of good answers. */
  readonly goodTokens: number;
  readonly firstToken: LatencySummary;
  readonly betweenTokens: LatencySummary;
  readonly errors: Readonly<Record<string, number>>;
}

import type { Arrival } from '../workload/Arrival.js';

/** Outcome and measurements of one request. */
export interface RequestRecord {
  readonly arrival: Arrival;
  firstTokenAtMs: number | undefined;
  finishedAtMs: number | undefined;
  /** Code of the error response or failure; undefined for a complete response. */
  errorCode: string | undefined;
  /** Whether the request was sent to another region. */
  spilled: boolean;
  attempts: number;
  promptTokens: number;
  /** Prompt tokens that attempts looked up in prefix caches, and how many of them were found. */
  lookedUpTokens: number;
  cachedTokens: number;
  /** Times between successive tokens at the engine. */
  tokenGapsMs: number[];
}

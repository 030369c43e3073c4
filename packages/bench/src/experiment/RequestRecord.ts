import type { Arrival } from '../workload/Arrival.js';

/** What happened to one request. */
export interface RequestRecord {
  readonly arrival: Arrival;
  firstTokenAtMs: number | undefined;
  finishedAtMs: number | undefined;
  /** Code of the refusal or failure; undefined for a complete answer. */
  errorCode: string | undefined;
  /** Whether the request was sent to another region. */
  spilled: boolean;
  attempts: number;
  promptTokens: number;
  /** Prompt tokens read by all attempts, and those of them that were cached. */
  lookedUpTokens: number;
  cachedTokens: number;
  /** Times between two tokens at the engine. */
  tokenGapsMs: number[];
}

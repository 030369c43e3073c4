import type { AttemptId } from './AttemptId.js';

/** Part of a prompt. Parts with the same id have the same content in all requests. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Metadata from the headers of a caller's request. */
export interface RequestMetadata {
  /** Undefined if the caller sent none. */
  readonly attemptId: AttemptId | undefined;
  /** Time for which the caller waits; undefined if the caller sent no deadline. */
  readonly deadlineMs: number | undefined;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** The caller's estimate of the output length. Correct in the median, but with large outliers. */
  readonly expectedOutputTokens: number | undefined;
  /** In prompt order. The last part is specific to the request or its session. */
  readonly promptParts: readonly PromptPart[];
  /** Id of the last event that the caller received from an interrupted stream. */
  readonly lastEventId: string | undefined;
  /**
   * Attempt that brought the caller the first event of the stream that it resumes. Undefined if the
   * caller names none, or a text that is no attempt id.
   */
  readonly resumes: AttemptId | undefined;
}

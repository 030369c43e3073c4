import type { AttemptId } from './AttemptId.js';

/** A part of a prompt; requests share parts that have the same id. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What the headers of a caller's request say of it. */
export interface RequestMetadata {
  /** Undefined when the caller sent none. */
  readonly attemptId: AttemptId | undefined;
  /** Time for which the caller will wait; undefined when it does not say. */
  readonly deadlineMs: number | undefined;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** The caller's estimate of the output; right in the median and often far off. */
  readonly expectedOutputTokens: number | undefined;
  /** In the order of the prompt; the last part belongs to the request or its session. */
  readonly promptParts: readonly PromptPart[];
  /** Id of the last event that the caller has of an interrupted stream. */
  readonly lastEventId: string | undefined;
}

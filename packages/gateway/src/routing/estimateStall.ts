/**
 * Part of the target gap that prefills may take between two events of a stream; the rest is for the
 * tokens of the event and for prompts that this host does not know of.
 */
const PREFILL_GAP_RATIO = 0.6;
/** Contribution to the score for each running stream that would exceed its target gap. */
const STALLED_STREAM_MS = 80;

/** Prefill work of an engine, if it also gets the request. */
export interface PrefillBacklog {
  /** Time until all prompts are prefilled, including that of the request. */
  readonly prefillMs: number;
  /** Number of requests that the engine is running; most of them are streams. */
  readonly running: number;
  /** Target for the longest gap between two events. */
  readonly targetGapMs: number;
}

/**
 * Returns the contribution to the score of the streams that would stall. An engine prefills between
 * the tokens of its streams, so prompts in a row extend one gap of all of them. Up to the target gap
 * this harms no caller; beyond it, every stream there is late.
 */
export function estimateStallMs({ prefillMs, running, targetGapMs }: PrefillBacklog): number {
  const budgetMs = targetGapMs * PREFILL_GAP_RATIO;
  const excessRatio = Math.min(1, Math.max(0, prefillMs - budgetMs) / budgetMs);
  return running * STALLED_STREAM_MS * excessRatio;
}

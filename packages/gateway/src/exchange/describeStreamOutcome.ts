import type { ExchangeProgress } from './ExchangeProgress.js';

/** Upper bounds of the classes of maximum output length, in tokens. */
const LENGTH_BOUNDS_TOKENS = [64, 128, 256, 512, 1_024, 2_048];

/** How the exchange of a stream ended. */
export interface StreamEnd {
  readonly status: number;
  readonly isExpired: boolean;
  readonly hasCallerLeft: boolean;
}

/** Labels that relate the outcome of a stream to its length. */
export interface StreamOutcome {
  /** Upper bound of the maximum output length in tokens, or `more`. */
  readonly maxTokens: string;
  readonly result: 'served' | 'caller-left' | 'deadline' | 'interrupted' | 'rejected' | 'failed';
}

function describeResult(progress: ExchangeProgress, end: StreamEnd): StreamOutcome['result'] {
  if (end.status >= 200 && end.status < 300) {
    return 'served';
  }
  if (end.hasCallerLeft) {
    return 'caller-left';
  }
  if (end.isExpired) {
    return 'deadline';
  }
  if (progress.eventCount > 0) {
    return 'interrupted';
  }
  return progress.runs === 0 ? 'rejected' : 'failed';
}

/** Describes how a stream ended, by its maximum output length. */
export function describeStreamOutcome(
  maxOutputTokens: number,
  progress: ExchangeProgress,
  end: StreamEnd,
): StreamOutcome {
  const boundTokens = LENGTH_BOUNDS_TOKENS.find((bound) => maxOutputTokens <= bound);
  return { maxTokens: String(boundTokens ?? 'more'), result: describeResult(progress, end) };
}

import type { RequestId } from '../ids/RequestId.js';
import type { CacheEvent } from './CacheEvent.js';
import type { LoadReport } from './LoadReport.js';

export type InferenceRoute = 'chat/completions' | 'completions';

export interface EngineAttempt {
  readonly baseUrl: string;
  readonly route: InferenceRoute;
  /** JSON body for the engine. */
  readonly body: string;
  readonly requestId: RequestId;
  /** Limit for making the connection. */
  readonly connectTimeoutMs: number;
  /** Longest silence before the first byte of the answer. */
  readonly firstByteTimeoutMs: number;
  /** Longest silence inside the answer before the attempt is aborted. */
  readonly progressTimeoutMs: number;
  /** Called immediately before the first byte is written to the connection. */
  readonly onBeforeSend: () => void;
}

/**
 * Start of an engine's answer. `refused` is a 429 or 503 and did not run; `plain` is any other
 * complete answer; `stream` yields the data field of each server-sent event, `[DONE]` included.
 */
export type EngineAnswer =
  | {
      readonly kind: 'refused';
      readonly statusCode: number;
      readonly retryAfterMs: number | undefined;
    }
  | { readonly kind: 'plain'; readonly statusCode: number; readonly body: string }
  | { readonly kind: 'stream'; readonly events: AsyncIterable<string> };

/**
 * Model engines, OpenAI-style HTTP. Methods reject with `ConnectFailedError` (not run),
 * `AttemptBrokenError` or `ProgressTimeoutError`; aborting the signal cancels the attempt at the
 * engine.
 */
export interface EngineClient {
  start(attempt: EngineAttempt, signal: AbortSignal): Promise<EngineAnswer>;
  readLoad(baseUrl: string, timeoutMs: number): Promise<LoadReport>;
  /** Cache events after `afterSequence`; gaps in the sequence mean lost events. */
  readCacheEvents(
    baseUrl: string,
    afterSequence: number,
    timeoutMs: number,
  ): Promise<readonly CacheEvent[]>;
  close(): Promise<void>;
}

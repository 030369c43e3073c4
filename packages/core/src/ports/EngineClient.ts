import type { RequestId } from '../ids/RequestId.js';
import type { CacheEvent } from './CacheEvent.js';
import type { LoadReport } from './LoadReport.js';

export type InferenceRoute = 'chat/completions' | 'completions';

/** One attempt to run an inference request on an engine. */
export interface EngineAttempt {
  readonly baseUrl: string;
  readonly route: InferenceRoute;
  /** JSON body for the engine. */
  readonly body: string;
  readonly requestId: RequestId;
  /** Time limit for opening the connection. */
  readonly connectTimeoutMs: number;
  /** Maximum wait for the first byte of the response. */
  readonly firstByteTimeoutMs: number;
  /**
   * Asked once `firstByteTimeoutMs` has passed: whether the attempt ends. If not, it goes on until
   * its signal aborts, and the question is repeated. @default it ends
   */
  readonly mayTimeOut?: (() => boolean) | undefined;
  /** Maximum time without data within the response before the attempt is aborted. */
  readonly progressTimeoutMs: number;
  /** Called immediately before the first byte is written; from then on the request may run. */
  readonly onBeforeSend: () => void;
}

/**
 * Start of an engine's response. `refused` is a status 429 or 503: the request did not run. `plain`
 * is any other complete response. `stream` yields the data field of each server-sent event,
 * including `[DONE]`.
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
 * Client of model engines with an OpenAI-compatible HTTP interface. Methods reject with
 * `ConnectFailedError` (not run), `AttemptBrokenError` or `ProgressTimeoutError`. Aborting the
 * signal cancels the attempt at the engine.
 */
export interface EngineClient {
  start(attempt: EngineAttempt, signal: AbortSignal): Promise<EngineAnswer>;
  readLoad(baseUrl: string, timeoutMs: number): Promise<LoadReport>;
  /** Cache events after `afterSequence`. Gaps in the sequence numbers mean lost events. */
  readCacheEvents(
    baseUrl: string,
    afterSequence: number,
    timeoutMs: number,
  ): Promise<readonly CacheEvent[]>;
  close(): Promise<void>;
}

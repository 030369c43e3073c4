import type { RequestId } from '../ids/RequestId.js';

/** One attempt to call a service. */
export interface ServiceCall {
  readonly baseUrl: string;
  readonly method: string;
  /** Path and query relative to the service's base URL, starting with a slash. */
  readonly path: string;
  readonly contentType: string | undefined;
  readonly body: string | undefined;
  readonly requestId: RequestId;
  readonly connectTimeoutMs: number;
  /** Time limit from the first byte sent to the end of the response. */
  readonly answerTimeoutMs: number;
  /**
   * Whether to open a new connection for the call, so that no stalled pooled connection is used.
   */
  readonly freshConnection: boolean;
  /** Called immediately before the first byte is written; from then on the call may run. */
  readonly onBeforeSend: () => void;
}

export interface ServiceAnswer {
  readonly statusCode: number;
  readonly contentType: string | undefined;
  readonly body: string;
}

/**
 * Client of the services behind the gateway. Rejects with `ConnectFailedError` (not run),
 * `AttemptBrokenError` or `ProgressTimeoutError` (may have run).
 */
export interface ServiceClient {
  call(call: ServiceCall, signal: AbortSignal): Promise<ServiceAnswer>;
  close(): Promise<void>;
}

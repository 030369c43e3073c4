import type { RequestId } from '../ids/RequestId.js';

export interface ServiceCall {
  readonly baseUrl: string;
  readonly method: string;
  /** Path and query behind the service's base URL, starting with a slash. */
  readonly path: string;
  readonly contentType: string | undefined;
  readonly body: string | undefined;
  readonly requestId: RequestId;
  readonly connectTimeoutMs: number;
  /** Limit from the first byte sent to the end of the answer. */
  readonly answerTimeoutMs: number;
  /** A new connection is made for the call, so that a silent pooled connection is never used. */
  readonly freshConnection: boolean;
  /** Called immediately before the first byte is written to the connection. */
  readonly onBeforeSend: () => void;
}

export interface ServiceAnswer {
  readonly statusCode: number;
  readonly contentType: string | undefined;
  readonly body: string;
}

/**
 * Plain services behind the gateway. Rejects with `ConnectFailedError` (not run),
 * `AttemptBrokenError` or `ProgressTimeoutError` (unknown).
 */
export interface ServiceClient {
  call(call: ServiceCall, signal: AbortSignal): Promise<ServiceAnswer>;
  close(): Promise<void>;
}

import type { Outcome } from '../errors/Outcome.js';
import type { CustomerId } from '../ids/CustomerId.js';
import type { HostId } from '../ids/HostId.js';
import type { RegionId } from '../ids/RegionId.js';
import type { RequestId } from '../ids/RequestId.js';
import type { Rank } from '../requests/Rank.js';
import type { InferenceRoute } from './EngineClient.js';

/** A request to be forwarded to an entry host of another region. */
export interface ForwardAttempt {
  readonly peerUrl: string;
  /** Region that the peer is expected to be in; a peer in another region rejects the request. */
  readonly regionId: RegionId;
  readonly route: InferenceRoute;
  readonly body: string;
  readonly requestId: RequestId;
  readonly customerId: CustomerId;
  readonly rank: Rank;
  /** Entry hosts visited so far, ending with the sender. */
  readonly path: readonly HostId[];
  /** Time left until the deadline of the request. */
  readonly remainingMs: number;
  readonly connectTimeoutMs: number;
  /** Maximum time without data from the peer while a stream is expected. */
  readonly progressTimeoutMs: number;
  /** Whether a stream is expected. Only then does the peer send data while the request waits. */
  readonly streamed: boolean;
}

/** A peer's rejection of a forwarded request, with a typed error. */
export interface ForwardRefusal {
  readonly kind: 'refused';
  readonly statusCode: number;
  readonly code: string;
  readonly message: string;
  readonly outcome: Outcome;
  readonly retryAfterMs: number | undefined;
  readonly details: Readonly<Record<string, unknown>>;
}

export type ForwardAnswer =
  | ForwardRefusal
  | { readonly kind: 'plain'; readonly statusCode: number; readonly body: string }
  | { readonly kind: 'stream'; readonly events: AsyncIterable<string> };

/**
 * Client that forwards requests to entry hosts of other regions. Rejects with `ConnectFailedError`
 * (not run), `AttemptBrokenError` or `ProgressTimeoutError`. A stream that fails at the peer throws
 * the peer's `RequestError`. Aborting the signal cancels the request at the peer.
 */
export interface ForwardClient {
  start(attempt: ForwardAttempt, signal: AbortSignal): Promise<ForwardAnswer>;
  close(): Promise<void>;
}

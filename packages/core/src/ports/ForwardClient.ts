import type { Outcome } from '../errors/Outcome.js';
import type { CustomerId } from '../ids/CustomerId.js';
import type { HostId } from '../ids/HostId.js';
import type { RegionId } from '../ids/RegionId.js';
import type { RequestId } from '../ids/RequestId.js';
import type { Rank } from '../requests/Rank.js';
import type { InferenceRoute } from './EngineClient.js';

export interface ForwardAttempt {
  readonly peerUrl: string;
  /** Region the peer is expected to be in; it refuses the request when it is in another. */
  readonly regionId: RegionId;
  readonly route: InferenceRoute;
  readonly body: string;
  readonly requestId: RequestId;
  readonly customerId: CustomerId;
  readonly rank: Rank;
  /** Entry hosts visited so far, the sender last. */
  readonly path: readonly HostId[];
  /** Time the answer is still worth something. */
  readonly remainingMs: number;
  readonly connectTimeoutMs: number;
  /** Longest silence of the peer while a stream is expected. */
  readonly progressTimeoutMs: number;
  /** Whether a stream is expected; only then the peer shows progress while the request waits. */
  readonly streamed: boolean;
}

/** Typed refusal of a peer. */
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
 * Requests handed to entry hosts of other regions. Rejects with `ConnectFailedError` (not run),
 * `AttemptBrokenError` or `ProgressTimeoutError`; a stream that fails at the peer throws the
 * peer's `RequestError`. Aborting the signal cancels the request at the peer.
 */
export interface ForwardClient {
  start(attempt: ForwardAttempt, signal: AbortSignal): Promise<ForwardAnswer>;
  close(): Promise<void>;
}

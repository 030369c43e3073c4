import type { FleetDefaults } from '../config/FleetDefaults.js';
import type { CustomerId } from '../ids/CustomerId.js';
import type { Fingerprint } from '../ids/Fingerprint.js';
import type { PromptPartKey } from '../ids/PromptPartKey.js';
import type { HostId } from '../ids/HostId.js';
import type { RegionId } from '../ids/RegionId.js';
import type { RequestId } from '../ids/RequestId.js';
import type { InferenceRoute } from '../ports/EngineClient.js';
import type { Rank } from './Rank.js';

/** An authenticated and validated inference request. */
export interface InferenceRequest {
  readonly requestId: RequestId;
  readonly customerId: CustomerId;
  readonly rank: Rank;
  /** Region that the request's data must not leave; undefined when any region may serve it. */
  readonly homeRegionId: RegionId | undefined;
  readonly route: InferenceRoute;
  readonly model: string;
  readonly streamed: boolean;
  readonly body: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  readonly receivedAtMs: number;
  /** Monotonic time by which the first token must be sent. */
  readonly firstTokenDueAtMs: number;
  /** Monotonic time after which a response is of no use to the caller. */
  readonly deadlineAtMs: number;
  readonly fingerprint: Fingerprint;
  /** Hashes of the prompt's prefix blocks, shortest prefix first. */
  readonly blockHashes: readonly string[];
  /** Keys of the parts of the prompt that other requests can share: all but the last one. */
  readonly sharedParts: readonly PromptPartKey[];
  /** Entry hosts the request has visited, in order; empty when it comes from a caller. */
  readonly path: readonly HostId[];
  /** Fleet defaults with the exceptions that match this request applied. */
  readonly settings: FleetDefaults;
}

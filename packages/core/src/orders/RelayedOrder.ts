import type { SerializedRequestError } from '../errors/SerializedRequestError.js';
import type { CustomerId } from '../ids/CustomerId.js';
import type { HostId } from '../ids/HostId.js';
import type { RegionId } from '../ids/RegionId.js';
import type { RequestId } from '../ids/RequestId.js';
import type { ServiceAnswer } from '../ports/ServiceClient.js';

/** Order relayed to the entry host of the same region that issued its permit. */
export interface RelayedOrder {
  readonly regionId: RegionId;
  /** Entry host that received the order from the caller. */
  readonly fromHostId: HostId;
  readonly requestId: RequestId;
  readonly customerId: CustomerId;
  readonly homeRegionId?: RegionId | undefined;
  readonly permit: string;
  /** Time remaining until the caller's deadline. */
  readonly deadlineMs?: number | undefined;
  readonly serviceName: string;
  readonly method: string;
  readonly path: string;
  readonly contentType?: string | undefined;
  readonly body?: string | undefined;
}

/** Result of a relayed order, returned to the caller. */
export type RelayResult =
  | { readonly kind: 'answer'; readonly answer: ServiceAnswer }
  | { readonly kind: 'refusal'; readonly error: SerializedRequestError };

import type { SerializedRequestError } from '../errors/SerializedRequestError.js';
import type { CustomerId } from '../ids/CustomerId.js';
import type { HostId } from '../ids/HostId.js';
import type { RegionId } from '../ids/RegionId.js';
import type { RequestId } from '../ids/RequestId.js';
import type { ServiceAnswer } from '../ports/ServiceClient.js';

/** An order on its way to the entry host that issued its permit, inside one region. */
export interface RelayedOrder {
  readonly regionId: RegionId;
  /** Entry host that received the order from the caller. */
  readonly fromHostId: HostId;
  readonly requestId: RequestId;
  readonly customerId: CustomerId;
  readonly homeRegionId?: RegionId | undefined;
  readonly permit: string;
  /** Time left until the caller's deadline. */
  readonly deadlineMs?: number | undefined;
  readonly serviceName: string;
  readonly method: string;
  readonly path: string;
  readonly contentType?: string | undefined;
  readonly body?: string | undefined;
}

/** Result of a relayed order, to be passed on to the caller. */
export type RelayResult =
  | { readonly kind: 'answer'; readonly answer: ServiceAnswer }
  | { readonly kind: 'refusal'; readonly error: SerializedRequestError };

import type { Fingerprint } from '../ids/Fingerprint.js';
import type { Incarnation } from '../ids/Incarnation.js';
import type { RegionId } from '../ids/RegionId.js';
import type { ServiceAnswer } from '../ports/ServiceClient.js';

/** Query to the entry host that claimed a caller's own idempotency key. */
export interface ClaimQuery {
  readonly regionId: RegionId;
  readonly claimId: string;
  readonly incarnation: Incarnation;
  readonly fingerprint: Fingerprint;
  /** Longest time the claimant waits for a pending order before it responds. */
  readonly waitMs: number;
}

/**
 * State of a claimed order at the claimant. `not-run` also guarantees that the claim is abandoned:
 * no request will be sent under it, so another host may replace it.
 */
export type ClaimStatus =
  | { readonly state: 'pending' }
  | { readonly state: 'not-run' }
  | { readonly state: 'unknown' }
  | { readonly state: 'key-reused' }
  | { readonly state: 'run'; readonly answer?: ServiceAnswer | undefined };

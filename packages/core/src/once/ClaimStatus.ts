import type { Fingerprint } from '../ids/Fingerprint.js';
import type { Incarnation } from '../ids/Incarnation.js';
import type { RegionId } from '../ids/RegionId.js';
import type { ServiceAnswer } from '../ports/ServiceClient.js';

/** Question to the claimant of a caller's own key. */
export interface ClaimQuery {
  readonly regionId: RegionId;
  readonly claimId: string;
  readonly incarnation: Incarnation;
  readonly fingerprint: Fingerprint;
  /** Time the claimant may wait for the order to end. */
  readonly waitMs: number;
}

/**
 * What the claimant knows. `not-run` also promises that the claim is abandoned: nothing will be
 * sent under it any more, so that another host may take it over.
 */
export type ClaimStatus =
  | { readonly state: 'pending' }
  | { readonly state: 'not-run' }
  | { readonly state: 'unknown' }
  | { readonly state: 'key-reused' }
  | { readonly state: 'run'; readonly answer?: ServiceAnswer | undefined };

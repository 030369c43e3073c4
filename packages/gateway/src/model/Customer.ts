import type { CustomerId, RegionId } from '@camphorbarrow/core';

/** Limit on what a customer may use, over all entry hosts together. */
export interface Allowance {
  /** Requests or tokens per second. */
  readonly ratePerSecond: number;
  /** Requests or tokens that the customer may use at once after a pause. */
  readonly burst: number;
  /** What is counted: each request as one, or the tokens that it names. */
  readonly unit: 'requests' | 'tokens';
  /** Tokens counted for a request that names none. */
  readonly plainTokens: number;
}

/** Customer of the deployment, as the operator configured it. */
export interface Customer {
  readonly id: CustomerId;
  /** Priority class of the customer's requests, instead of that of the route; 0 is the most urgent. */
  readonly rank: number | undefined;
  /** Regions that may process the customer's requests; empty if all may. */
  readonly homeRegions: readonly RegionId[];
  /** Undefined if the customer's use is not limited. */
  readonly allowance: Allowance | undefined;
}

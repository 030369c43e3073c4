import type { RegionId } from '../../ids/RegionId.js';
import type { InferenceRequest } from '../../requests/InferenceRequest.js';
import type { RegionView } from './RegionView.js';

/** Estimate of a request's first token in the own region. */
export interface LocalEstimate {
  /** Queueing and prefill; infinite when no server of the region can take the request. */
  readonly firstTokenMs: number;
  /** Prefill of the whole prompt without any cached prefix. */
  readonly uncachedPrefillMs: number;
  /** Requests running or waiting in the own region, and what it can run at the same time. */
  readonly inUse: number;
  readonly capacity: number;
}

export interface SpillPolicyInput {
  readonly request: InferenceRequest;
  readonly nowMs: number;
  readonly local: LocalEstimate;
  /** Other regions that may be asked now; the caller has removed those that refused recently. */
  readonly regions: readonly RegionView[];
  /** Whether this entry host has sent work to the region recently. */
  readonly isSpillingTo: (regionId: RegionId) => boolean;
}

/** Names the region that should serve the request; undefined for the own one. */
export type SpillPolicy = (facts: SpillPolicyInput) => RegionId | undefined;

import type { RegionId } from '../../ids/RegionId.js';
import type { InferenceRequest } from '../../requests/InferenceRequest.js';
import type { RegionView } from './RegionView.js';

/** Estimated time to the first token of a request in its own region, with the region's load. */
export interface LocalEstimate {
  /** Queueing and prefill; infinite when no server of the region can serve the request. */
  readonly firstTokenMs: number;
  /** Prefill of the whole prompt without a cached prefix. */
  readonly uncachedPrefillMs: number;
  /** Requests that are running or waiting in the own region. */
  readonly inUse: number;
  /** Requests that the own region can run concurrently. */
  readonly capacity: number;
}

export interface SpillPolicyInput {
  readonly request: InferenceRequest;
  readonly nowMs: number;
  readonly local: LocalEstimate;
  /**
   * Regions that requests may be forwarded to; those that recently rejected a request are excluded.
   */
  readonly regions: readonly RegionView[];
  /** Whether this entry host has recently forwarded requests to the region. */
  readonly isSpillingTo: (regionId: RegionId) => boolean;
}

/** Chooses the region that should serve the request; undefined for the own region. */
export type SpillPolicy = (input: SpillPolicyInput) => RegionId | undefined;

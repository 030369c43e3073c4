import type { InferenceRequest, RandomSource, RegionId } from '@camphorbarrow/core';
import type { RegionLoad } from './RegionLoad.js';

export interface SpillContext {
  readonly nowMs: number;
  readonly random: RandomSource;
  readonly local: RegionLoad;
  /** Recent loads of the reachable other regions. */
  readonly otherRegions: readonly RegionLoad[];
}

/** Chooses the region of a request that is not bound to its own; undefined for the local one. */
export type SpillChooser = (
  request: InferenceRequest,
  context: SpillContext,
) => RegionId | undefined;

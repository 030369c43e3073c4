import type { InferenceRequest, RandomSource, RegionId } from '@camphorbarrow/core';
import type { RegionLoad } from './RegionLoad.js';

export interface SpillContext {
  readonly nowMs: number;
  readonly random: RandomSource;
  readonly local: RegionLoad;
  /** Regions that can be reached and whose figures are recent. */
  readonly otherRegions: readonly RegionLoad[];
}

/** Region that serves a request not bound to its region; undefined for the local one. */
export type SpillChooser = (
  request: InferenceRequest,
  context: SpillContext,
) => RegionId | undefined;

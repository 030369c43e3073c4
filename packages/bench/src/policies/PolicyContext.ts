import type {
  Clock,
  EngineClient,
  RandomSource,
  RegionId,
  ServerRegistry,
} from '@camphorbarrow/core';

/** Dependencies of the policies of one entry host. */
export interface PolicyContext {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly regionId: RegionId;
  readonly registry: ServerRegistry;
  readonly engineClient: EngineClient;
  /** Entry hosts of the region, this one included. */
  readonly entryHostCount: () => number;
}

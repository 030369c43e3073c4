import type {
  Clock,
  EngineClient,
  RandomSource,
  RegionId,
  ServerRegistry,
} from '@camphorbarrow/core';

/** What a policy of one entry host may use. */
export interface PolicyContext {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly regionId: RegionId;
  readonly registry: ServerRegistry;
  readonly engineClient: EngineClient;
  /** Entry hosts of the region, this one included. */
  readonly entryHostCount: () => number;
}

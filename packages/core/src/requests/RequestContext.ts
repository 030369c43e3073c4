import type { FleetDefaults } from '../config/FleetDefaults.js';
import type { CustomerId } from '../ids/CustomerId.js';
import type { HostId } from '../ids/HostId.js';
import type { RegionId } from '../ids/RegionId.js';
import type { RequestId } from '../ids/RequestId.js';
import type { Rank } from './Rank.js';

/** Properties of a request that are known from its headers, before its body is read. */
export interface RequestContext {
  readonly requestId: RequestId;
  readonly customerId: CustomerId;
  readonly homeRegionId: RegionId | undefined;
  readonly rank: Rank | undefined;
  readonly deadlineMs: number | undefined;
  readonly idempotencyKey: string | undefined;
  readonly path: readonly HostId[];
  readonly receivedAtMs: number;
  /**
   * Effective settings for the rank in the headers. Without a rank, exceptions scoped to one are
   * left out.
   */
  readonly settings: FleetDefaults;
  /** Effective settings for a rank, for when the rank is derived from the route. */
  readonly settingsForRank: (rank: Rank) => FleetDefaults;
}

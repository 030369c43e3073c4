import type { FleetDefaults } from '../config/FleetDefaults.js';
import type { CustomerId } from '../ids/CustomerId.js';
import type { HostId } from '../ids/HostId.js';
import type { RegionId } from '../ids/RegionId.js';
import type { RequestId } from '../ids/RequestId.js';
import type { Rank } from './Rank.js';

/** What the headers of a request say, known before its body is read. */
export interface RequestContext {
  readonly requestId: RequestId;
  readonly customerId: CustomerId;
  readonly homeRegionId: RegionId | undefined;
  readonly rank: Rank | undefined;
  readonly deadlineMs: number | undefined;
  readonly idempotencyKey: string | undefined;
  readonly path: readonly HostId[];
  readonly receivedAtMs: number;
  /** Effective settings of the rank in the headers; exceptions of a rank are left out without one. */
  readonly settings: FleetDefaults;
  /** Effective settings once the rank is known, which may follow from the route. */
  readonly settingsForRank: (rank: Rank) => FleetDefaults;
}

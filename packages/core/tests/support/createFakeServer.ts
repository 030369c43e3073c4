import type { AvailabilityZoneId } from '../../src/ids/AvailabilityZoneId.js';
import type { Incarnation } from '../../src/ids/Incarnation.js';
import type { RegionId } from '../../src/ids/RegionId.js';
import type { ServerId } from '../../src/ids/ServerId.js';
import { asId } from '../../src/ids/asId.js';
import type { ServerView } from '../../src/routing/ServerView.js';

/** A live engine with no load. */
export function createFakeServer(serverId: string, changes: Partial<ServerView> = {}): ServerView {
  return {
    entry: {
      serverId: asId<ServerId>(serverId),
      kind: 'engine',
      baseUrl: 'http://127.0.0.1:7000',
      regionId: asId<RegionId>('norte'),
      availabilityZoneId: asId<AvailabilityZoneId>('norte-a'),
      models: ['model'],
      state: 'live',
    },
    load: {
      incarnation: asId<Incarnation>(`${serverId}-1`),
      state: 'live',
      runningRequests: 0,
      waitingRequests: 0,
      waitingTokens: 0,
      maxConcurrentRequests: 8,
      kvCacheUsageRatio: 0,
    },
    loadAtMs: 0,
    ownInFlightRequests: 0,
    ownInFlightTokens: 0,
    ownTokensSinceReport: 0,
    accepting: true,
    ...changes,
  };
}

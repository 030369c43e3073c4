import { asId } from '../../src/ids/asId.js';
import type { LoadReport } from '../../src/ports/LoadReport.js';
import type { ServerView } from '../../src/routing/ServerView.js';

/** A live engine for model `m` that runs up to four requests concurrently. */
export function createFakeServer(
  overrides: Partial<ServerView> = {},
  load: Partial<LoadReport> = {},
): ServerView {
  return {
    entry: {
      serverId: asId('s'),
      kind: 'engine',
      baseUrl: 'http://192.0.2.1:1',
      regionId: asId('r'),
      availabilityZoneId: asId('z'),
      models: ['m'],
      state: 'live',
    },
    load: {
      incarnation: asId('i'),
      state: 'live',
      runningRequests: 0,
      waitingRequests: 0,
      waitingTokens: 0,
      maxConcurrentRequests: 4,
      kvCacheUsageRatio: 0,
      ...load,
    },
    loadAtMs: 0,
    ownInFlightRequests: 0,
    ownInFlightTokens: 0,
    ownTokensSinceReport: 0,
    accepting: true,
    ...overrides,
  };
}

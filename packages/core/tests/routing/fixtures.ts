import { fleetDefaultsSchema } from '../../src/config/fleetDefaultsSchema.js';
import type { ServerId } from '../../src/ids/ServerId.js';
import { asId } from '../../src/ids/asId.js';
import type { LoadReport } from '../../src/ports/LoadReport.js';
import type { InferenceRequest } from '../../src/requests/InferenceRequest.js';
import type { ServerView } from '../../src/routing/ServerView.js';

export const serverId = (name: string): ServerId => asId<ServerId>(name);

/** Creates an urgent request without a home region that arrived at time 0. */
export function createRequest(changes: Partial<InferenceRequest> = {}): InferenceRequest {
  return {
    requestId: asId('request-1'),
    customerId: asId('workshop'),
    rank: 'urgent',
    homeRegionId: undefined,
    route: 'chat/completions',
    model: 'layout-large',
    streamed: true,
    body: '{}',
    promptTokens: 4_000,
    maxOutputTokens: 100,
    receivedAtMs: 0,
    firstTokenDueAtMs: 1_700,
    deadlineAtMs: 60_000,
    fingerprint: asId('fingerprint'),
    blockHashes: [],
    sharedParts: [],
    path: [],
    settings: fleetDefaultsSchema.parse({}),
    ...changes,
  };
}

/** Creates an accepting engine with 8 batch slots and a load report that has the given changes. */
export function createServer(name: string, load: Partial<LoadReport> | undefined = {}): ServerView {
  return {
    entry: {
      serverId: serverId(name),
      kind: 'engine',
      baseUrl: `http://${name}`,
      regionId: asId('sierra-sur'),
      availabilityZoneId: asId('sur-a'),
      models: ['layout-large'],
      state: 'live',
    },
    load: {
      incarnation: asId('first'),
      state: 'live',
      runningRequests: 0,
      waitingRequests: 0,
      waitingTokens: 0,
      maxConcurrentRequests: 8,
      kvCacheUsageRatio: 0,
      ...load,
    },
    loadAtMs: 0,
    ownInFlightRequests: 0,
    ownInFlightTokens: 0,
    ownTokensSinceReport: 0,
    accepting: true,
  };
}

import { fleetDefaultsSchema } from '../../src/config/fleetDefaultsSchema.js';
import { asId } from '../../src/ids/asId.js';
import type { InferenceRequest } from '../../src/requests/InferenceRequest.js';

let createdCount = 0;

/** A request of customer `a` with default settings, received at time zero. */
export function createFakeRequest(overrides: Partial<InferenceRequest> = {}): InferenceRequest {
  createdCount += 1;
  const settings = fleetDefaultsSchema.parse({});
  return {
    requestId: asId(`request-${createdCount}`),
    customerId: asId('a'),
    rank: 'urgent',
    homeRegionId: undefined,
    route: 'chat/completions',
    model: 'm',
    streamed: true,
    body: '{}',
    promptTokens: 100,
    maxOutputTokens: 100,
    receivedAtMs: 0,
    firstTokenDueAtMs: 1_700,
    deadlineAtMs: 10_000,
    fingerprint: asId(`fingerprint-${createdCount}`),
    blockHashes: [],
    sharedParts: [],
    path: [],
    settings,
    ...overrides,
  };
}

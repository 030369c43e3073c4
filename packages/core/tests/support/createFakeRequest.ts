import { fleetDefaultsSchema } from '../../src/config/fleetDefaultsSchema.js';
import type { CustomerId } from '../../src/ids/CustomerId.js';
import type { Fingerprint } from '../../src/ids/Fingerprint.js';
import type { RequestId } from '../../src/ids/RequestId.js';
import { asId } from '../../src/ids/asId.js';
import type { InferenceRequest } from '../../src/requests/InferenceRequest.js';

/** An urgent chat request bound to no region. */
export function createFakeRequest(changes: Partial<InferenceRequest> = {}): InferenceRequest {
  return {
    requestId: asId<RequestId>('request'),
    customerId: asId<CustomerId>('customer'),
    rank: 'urgent',
    homeRegionId: undefined,
    route: 'chat/completions',
    model: 'model',
    streamed: true,
    body: '{}',
    promptTokens: 100,
    maxOutputTokens: 100,
    receivedAtMs: 0,
    firstTokenDueAtMs: 1_700,
    deadlineAtMs: 10_000,
    fingerprint: asId<Fingerprint>('a'.repeat(64)),
    blockHashes: [],
    path: [],
    settings: fleetDefaultsSchema.parse({}),
    ...changes,
  };
}

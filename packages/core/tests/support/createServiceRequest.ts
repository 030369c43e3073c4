import { fleetDefaultsSchema } from '../../src/config/fleetDefaultsSchema.js';
import type { ServiceRequest } from '../../src/gateway/ServiceRequest.js';
import type { CustomerId } from '../../src/ids/CustomerId.js';
import type { RequestId } from '../../src/ids/RequestId.js';
import { asId } from '../../src/ids/asId.js';
import type { RequestContext } from '../../src/requests/RequestContext.js';

const settings = fleetDefaultsSchema.parse({
  customers: { workshop: { keySha256: '0'.repeat(64) }, other: { keySha256: '1'.repeat(64) } },
  services: { orders: { nonRepeatableCalls: ['POST /orders'] } },
});

/** A `POST /orders` call by customer `workshop`, received at monotonic time 0. */
export function createServiceRequest(
  context: Partial<RequestContext> = {},
  request: Partial<ServiceRequest> = {},
): ServiceRequest {
  return {
    context: {
      requestId: asId<RequestId>('request'),
      customerId: asId<CustomerId>('workshop'),
      homeRegionId: undefined,
      rank: undefined,
      deadlineMs: undefined,
      idempotencyKey: undefined,
      path: [],
      receivedAtMs: 0,
      settings,
      settingsForRank: () => settings,
      ...context,
    },
    serviceName: 'orders',
    method: 'POST',
    path: '/orders',
    contentType: 'application/json',
    body: '{"order":"a"}',
    ...request,
  };
}

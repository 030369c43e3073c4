import { LATE_RANK } from '../overload/createOverloadControl.js';
import type { AdmissionRequest } from '../overload/createOverloadControl.js';
import type { RoutingRequest } from './Destination.js';

/** Returns what decides whether the request is rejected before others while room is short. */
export function toAdmissionRequest({
  service,
  route,
  customer,
  metadata,
  expectedEvents,
  isLate = false,
}: RoutingRequest): AdmissionRequest {
  return {
    service: service.name,
    rank: isLate ? LATE_RANK : route.rank,
    isLate,
    customer,
    homeRegions: route.homeRegions,
    tokens: metadata.promptTokens + expectedEvents * service.tokensPerEvent,
  };
}

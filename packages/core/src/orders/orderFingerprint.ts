import type { ServiceRequest } from '../gateway/ServiceRequest.js';
import type { Fingerprint } from '../ids/Fingerprint.js';
import { fingerprintOf } from '../requests/fingerprintOf.js';

/** Keyed hash of all parts of an order that are sent to a backend server. */
export function orderFingerprint(recordKey: string, request: ServiceRequest): Fingerprint {
  const { serviceName, method, path, contentType, body } = request;
  const call = JSON.stringify([serviceName, method, path, contentType ?? null, body ?? null]);
  return fingerprintOf(recordKey, 'order-call', call);
}

import { RequestError } from './RequestError.js';

/**
 * The key-value service cannot record the claim for a caller's idempotency key; nothing was sent.
 */
export const ClaimStoreUnavailableError = RequestError.subclass('ClaimStoreUnavailableError', {
  props: { code: 'claim-store-unavailable', statusCode: 503, outcome: 'not-run' as const },
});

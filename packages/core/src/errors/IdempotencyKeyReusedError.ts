import { RequestError } from './RequestError.js';

/** The idempotency key was used before for a different call. */
export const IdempotencyKeyReusedError = RequestError.subclass('IdempotencyKeyReusedError', {
  props: { code: 'idempotency-key-reused', statusCode: 422, outcome: 'not-run' as const },
});

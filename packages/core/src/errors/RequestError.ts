import ModernError from 'modern-errors';
import type { Outcome } from './Outcome.js';

/**
 * Base class of every failure that a caller can see. `code` and `outcome` are part of the public
 * interface (docs/api.md); `statusCode` is the HTTP status; `details` holds further fields of the
 * response body.
 */
export const RequestError = ModernError.subclass('RequestError', {
  props: {
    code: 'internal-error',
    outcome: 'unknown' as Outcome,
    statusCode: 500,
    retryAfterMs: undefined as number | undefined,
    details: {} as Readonly<Record<string, unknown>>,
  },
});

export type RequestError = InstanceType<typeof RequestError>;

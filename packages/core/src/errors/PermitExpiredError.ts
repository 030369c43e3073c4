import { RequestError } from './RequestError.js';

/**
 * The order permit has expired and its issuer has no outcome for it; an earlier attempt may have
 * run.
 */
export const PermitExpiredError = RequestError.subclass('PermitExpiredError', {
  props: { code: 'permit-expired', statusCode: 409, outcome: 'unknown' as const },
});

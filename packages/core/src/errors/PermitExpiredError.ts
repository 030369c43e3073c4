import { RequestError } from './RequestError.js';

/** The order permit has expired and its issuer keeps no outcome of it; an earlier send may have run. */
export const PermitExpiredError = RequestError.subclass('PermitExpiredError', {
  props: { code: 'permit-expired', statusCode: 409, outcome: 'unknown' as const },
});

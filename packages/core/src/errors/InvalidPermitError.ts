import { RequestError } from './RequestError.js';

/** The order permit is malformed, forged or issued to another customer. */
export const InvalidPermitError = RequestError.subclass('InvalidPermitError', {
  props: { code: 'invalid-permit', statusCode: 400, outcome: 'not-run' as const },
});

import { RequestError } from './RequestError.js';

/** The caller's key is missing or unknown. */
export const UnauthenticatedError = RequestError.subclass('UnauthenticatedError', {
  props: { code: 'unauthenticated', statusCode: 401, outcome: 'not-run' as const },
});

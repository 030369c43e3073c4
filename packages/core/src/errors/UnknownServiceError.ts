import { RequestError } from './RequestError.js';

/** The fleet configuration has no service with that name. */
export const UnknownServiceError = RequestError.subclass('UnknownServiceError', {
  props: { code: 'unknown-service', statusCode: 404, outcome: 'not-run' as const },
});

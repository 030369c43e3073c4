import { RequestError } from './RequestError.js';

/** The request body did not arrive in time. */
export const BodyTimeoutError = RequestError.subclass('BodyTimeoutError', {
  props: { code: 'body-timeout', statusCode: 408, outcome: 'not-run' as const },
});

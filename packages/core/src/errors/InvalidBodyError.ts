import { RequestError } from './RequestError.js';

/** The request body is not valid JSON or does not match the route. */
export const InvalidBodyError = RequestError.subclass('InvalidBodyError', {
  props: { code: 'invalid-body', statusCode: 400, outcome: 'not-run' as const },
});

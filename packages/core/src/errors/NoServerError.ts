import { RequestError } from './RequestError.js';

/** No live backend server can accept the request. */
export const NoServerError = RequestError.subclass('NoServerError', {
  props: { code: 'no-server', statusCode: 503, outcome: 'not-run' as const },
});

import { RequestError } from './RequestError.js';

/** The attempts at backend servers failed and no retry is left. */
export const BackendFailedError = RequestError.subclass('BackendFailedError', {
  props: { code: 'backend-failed', statusCode: 502, outcome: 'unknown' as const },
});

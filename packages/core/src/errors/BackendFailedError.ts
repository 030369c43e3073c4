import { RequestError } from './RequestError.js';

/** Attempts at backend servers failed and retries are used up. */
export const BackendFailedError = RequestError.subclass('BackendFailedError', {
  props: { code: 'backend-failed', statusCode: 502, outcome: 'unknown' as const },
});

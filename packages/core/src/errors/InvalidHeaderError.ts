import { RequestError } from './RequestError.js';

/** A header occurs twice, is malformed or is out of range. */
export const InvalidHeaderError = RequestError.subclass('InvalidHeaderError', {
  props: { code: 'invalid-header', statusCode: 400, outcome: 'not-run' as const },
});

import { RequestError } from './RequestError.js';

/** The request body exceeds the size limit. */
export const BodyTooLargeError = RequestError.subclass('BodyTooLargeError', {
  props: { code: 'body-too-large', statusCode: 413, outcome: 'not-run' as const },
});

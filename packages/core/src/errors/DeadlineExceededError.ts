import { RequestError } from './RequestError.js';

/** The request's deadline passed before the response was complete. */
export const DeadlineExceededError = RequestError.subclass('DeadlineExceededError', {
  props: { code: 'deadline-exceeded', statusCode: 504, outcome: 'unknown' as const },
});

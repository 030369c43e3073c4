import { RequestError } from './RequestError.js';

/** The request's deadline passed before an answer was complete. */
export const DeadlineExceededError = RequestError.subclass('DeadlineExceededError', {
  props: { code: 'deadline-exceeded', statusCode: 504, outcome: 'unknown' as const },
});

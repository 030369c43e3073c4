import { RequestError } from './RequestError.js';

/** The order ran, but its response is no longer held in memory. */
export const AnswerNotKeptError = RequestError.subclass('AnswerNotKeptError', {
  props: { code: 'answer-not-kept', statusCode: 409, outcome: 'run' as const },
});

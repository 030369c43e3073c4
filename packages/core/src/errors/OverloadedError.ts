import { RequestError } from './RequestError.js';

/** The request cannot meet its deadline or its queue is full; `retryAfterMs` says when to retry. */
export const OverloadedError = RequestError.subclass('OverloadedError', {
  props: { code: 'overloaded', statusCode: 429, outcome: 'not-run' as const },
});

import { RequestError } from './RequestError.js';

/** The request has already visited this entry host or has made too many hops. */
export const LoopDetectedError = RequestError.subclass('LoopDetectedError', {
  props: { code: 'loop-detected', statusCode: 508, outcome: 'not-run' as const },
});

import { RequestError } from './RequestError.js';

/** The order may have run; its outcome cannot be determined at present. */
export const OutcomeUnknownError = RequestError.subclass('OutcomeUnknownError', {
  props: { code: 'outcome-unknown', statusCode: 409, outcome: 'unknown' as const },
});

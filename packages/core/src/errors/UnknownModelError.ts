import { RequestError } from './RequestError.js';

/** The fleet configuration has no model with that name. */
export const UnknownModelError = RequestError.subclass('UnknownModelError', {
  props: { code: 'unknown-model', statusCode: 404, outcome: 'not-run' as const },
});

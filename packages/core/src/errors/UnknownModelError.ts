import { RequestError } from './RequestError.js';

/** No backend server of the deployment serves the model. */
export const UnknownModelError = RequestError.subclass('UnknownModelError', {
  props: { code: 'unknown-model', statusCode: 404, outcome: 'not-run' as const },
});

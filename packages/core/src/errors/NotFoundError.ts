import { RequestError } from './RequestError.js';

/** The route does not exist. */
export const NotFoundError = RequestError.subclass('NotFoundError', {
  props: { code: 'not-found', statusCode: 404, outcome: 'not-run' as const },
});

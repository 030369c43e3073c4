import { RequestError } from './RequestError.js';

/** The home region named by the caller does not exist. */
export const UnknownRegionError = RequestError.subclass('UnknownRegionError', {
  props: { code: 'unknown-region', statusCode: 400, outcome: 'not-run' as const },
});

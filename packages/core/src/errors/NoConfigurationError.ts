import { RequestError } from './RequestError.js';

/** This entry host has no fleet configuration yet. */
export const NoConfigurationError = RequestError.subclass('NoConfigurationError', {
  props: { code: 'no-configuration', statusCode: 503, outcome: 'not-run' as const },
});

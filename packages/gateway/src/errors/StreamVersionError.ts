import { RequestError } from '@camphorbarrow/core';

/**
 * A stream cannot be resumed: no server of the software version that began it is left, or this host
 * cannot find out which version it was.
 */
export const StreamVersionError = RequestError.subclass('StreamVersionError', {
  props: { code: 'stream-version', statusCode: 503, outcome: 'not-run' as const },
});

import { RequestError } from './RequestError.js';

/** This entry host is shutting down and accepts no new requests. */
export const DrainingError = RequestError.subclass('DrainingError', {
  props: { code: 'draining', statusCode: 503, outcome: 'not-run' as const },
});

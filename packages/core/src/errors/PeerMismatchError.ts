import { RequestError } from './RequestError.js';

/** A forwarded request reached an entry host of another region than the sender expected. */
export const PeerMismatchError = RequestError.subclass('PeerMismatchError', {
  props: { code: 'peer-mismatch', statusCode: 421, outcome: 'not-run' as const },
});

import { PlatformError } from './PlatformError.js';

/**
 * The connection was lost after the request may have been sent. `crashSuspected` is set when the
 * server closed the connection in the middle of the exchange.
 */
export const AttemptBrokenError = PlatformError.subclass('AttemptBrokenError', {
  props: { crashSuspected: false },
});

import { PlatformError } from './PlatformError.js';

/**
 * No connection could be opened, so no byte of the request was sent. `refused` is set when the host
 * responded that nothing listens on the port.
 */
export const ConnectFailedError = PlatformError.subclass('ConnectFailedError', {
  props: { refused: false },
});

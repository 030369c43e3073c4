import { PlatformError } from './PlatformError.js';

/**
 * No connection could be made, so no byte of the request was sent. `refused` tells that the host
 * answered and nothing listens on the port.
 */
export const ConnectFailedError = PlatformError.subclass('ConnectFailedError', {
  props: { refused: false },
});

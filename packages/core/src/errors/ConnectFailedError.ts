import { PlatformError } from './PlatformError.js';

/** No connection could be made, so no byte of the request was sent. */
export const ConnectFailedError = PlatformError.subclass('ConnectFailedError');

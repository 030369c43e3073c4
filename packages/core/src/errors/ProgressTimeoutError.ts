import { PlatformError } from './PlatformError.js';

/** No byte arrived within the progress timeout; the connection is discarded. */
export const ProgressTimeoutError = PlatformError.subclass('ProgressTimeoutError');

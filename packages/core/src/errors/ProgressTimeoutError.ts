import { PlatformError } from './PlatformError.js';

/** No data arrived within the progress timeout; the connection is discarded. */
export const ProgressTimeoutError = PlatformError.subclass('ProgressTimeoutError');

import { PlatformError } from './PlatformError.js';

/** The key-value service did not answer in time or answered with an error. A write may have taken effect. */
export const StoreUnavailableError = PlatformError.subclass('StoreUnavailableError');

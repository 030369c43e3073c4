import { PlatformError } from './PlatformError.js';

/**
 * The key-value service did not respond in time or returned an error. A write may have taken
 * effect.
 */
export const StoreUnavailableError = PlatformError.subclass('StoreUnavailableError');

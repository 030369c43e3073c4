import { PlatformError } from './PlatformError.js';

/**
 * The attempt was abandoned before its first byte was sent; nothing may be sent for it any more.
 */
export const AttemptAbandonedError = PlatformError.subclass('AttemptAbandonedError');

import { PlatformError } from './PlatformError.js';

/** The attempt was given up before its first byte; it must not be written any more. */
export const AttemptAbandonedError = PlatformError.subclass('AttemptAbandonedError');

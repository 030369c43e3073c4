import { PlatformError } from './PlatformError.js';

/** The stream ended without `finish_reason` or without `[DONE]`. */
export const TruncatedStreamError = PlatformError.subclass('TruncatedStreamError');

import { PlatformError } from './PlatformError.js';

/** Another entry host did not respond in time. */
export const PeerUnavailableError = PlatformError.subclass('PeerUnavailableError');

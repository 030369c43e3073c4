import { PlatformError } from './PlatformError.js';

/** Another entry host did not answer in time. */
export const PeerUnavailableError = PlatformError.subclass('PeerUnavailableError');

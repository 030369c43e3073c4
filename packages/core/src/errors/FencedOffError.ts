import { PlatformError } from './PlatformError.js';

/** An engine or the key-value service has recorded a newer owner of the engines. */
export const FencedOffError = PlatformError.subclass('FencedOffError');

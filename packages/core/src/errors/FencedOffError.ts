import { PlatformError } from './PlatformError.js';

/** An engine or the key-value service knows a newer owner of the engines. */
export const FencedOffError = PlatformError.subclass('FencedOffError');

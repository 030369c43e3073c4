import { PlatformError } from '@camphorbarrow/core';

/** A message from a peer or server, or a value in the store, is malformed. */
export const InvalidMessageError = PlatformError.subclass('InvalidMessageError');

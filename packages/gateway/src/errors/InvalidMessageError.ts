import { PlatformError } from '@camphorbarrow/core';

/** A message of a peer or a value in the store does not have the expected form. */
export const InvalidMessageError = PlatformError.subclass('InvalidMessageError');

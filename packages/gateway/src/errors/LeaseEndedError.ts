import { PlatformError } from '@camphorbarrow/core';

/** The lease has expired or was revoked; its keys were removed. */
export const LeaseEndedError = PlatformError.subclass('LeaseEndedError');

import { PlatformError } from '@camphorbarrow/core';

/** The lease has lapsed or was ended; its keys are gone. */
export const LeaseEndedError = PlatformError.subclass('LeaseEndedError');

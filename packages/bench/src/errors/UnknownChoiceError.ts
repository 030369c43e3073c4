import { PlatformError } from '@camphorbarrow/core';

/** The command line names a policy, a case or a part that does not exist. */
export const UnknownChoiceError = PlatformError.subclass('UnknownChoiceError');

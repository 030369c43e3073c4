import { SettingsError } from '@camphorbarrow/core';

/** Arguments, files or environment variables of a command are not valid. */
export const CommandInputError = SettingsError.subclass('CommandInputError');

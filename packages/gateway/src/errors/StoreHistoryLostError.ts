import { PlatformError } from '@camphorbarrow/core';

/** The store no longer knows the changes since the revision asked for; list again. */
export const StoreHistoryLostError = PlatformError.subclass('StoreHistoryLostError');

import type { LogSink } from '@camphorbarrow/core';

/** Log sink that discards everything. */
export function createNoLog(): LogSink {
  return { info: () => undefined, warn: () => undefined, error: () => undefined };
}

import type { LogSink } from '../../src/ports/LogSink.js';

/** Log for tests that do not look at it. */
export function createSilentLog(): LogSink {
  return { info: () => undefined, warn: () => undefined, error: () => undefined };
}

import type { LogSink } from '../../src/ports/LogSink.js';

/** Log that drops everything. */
export const silentLog: LogSink = {
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

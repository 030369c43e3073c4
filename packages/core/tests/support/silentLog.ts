import type { LogSink } from '../../src/ports/LogSink.js';

/** Log sink that discards all events. */
export const silentLog: LogSink = {
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

import type { LogSink } from '@camphorbarrow/core';

/** Wraps a callback of a timer or socket, because an exception there would end the process. */
export function logFailures(log: LogSink, event: string, callback: () => void): () => void {
  return () => {
    try {
      callback();
    } catch (error) {
      log.error(event, {}, error);
    }
  };
}

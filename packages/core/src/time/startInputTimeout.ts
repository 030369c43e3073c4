import { runAfterPoll } from './runAfterPoll.js';

/** A running timeout. */
export interface InputTimeout {
  /** Starts the duration again, which costs less than another timeout. Not after `close`. */
  restart(): void;
  /** Ends the timeout; it does not elapse any more. */
  close(): void;
}

/**
 * Starts a timeout for input from a connection. After a pause of the process, its timers run before
 * its sockets are read. This timeout elapses only when the sockets have been read since its end, so
 * that input which arrived in time can still close it.
 *
 * @param durationMs time until the timeout ends
 */
export function startInputTimeout(durationMs: number, onElapsed: () => void): InputTimeout {
  let cancelCall = (): void => undefined;
  const timer = setTimeout(() => {
    cancelCall = runAfterPoll(onElapsed);
  }, durationMs);
  return {
    restart() {
      cancelCall();
      timer.refresh();
    },
    close() {
      clearTimeout(timer);
      cancelCall();
    },
  };
}

import { runAfterPoll } from './runAfterPoll.js';

/**
 * Resolves after the sockets have been read. A kept connection whose end has arrived before the call
 * is then closed, so that no request is written to it.
 */
export function waitForPoll(): Promise<void> {
  return new Promise((resolve) => {
    runAfterPoll(resolve);
  });
}

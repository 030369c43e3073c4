/**
 * Calls back in a later turn of the event loop, after the sockets have been read.
 *
 * @returns a function that cancels the call
 */
export function runAfterPoll(callback: () => void): () => void {
  // The first one may run before the sockets are polled, and a signal can cut a poll short.
  let immediate = setImmediate(() => {
    immediate = setImmediate(callback);
  });
  return () => clearImmediate(immediate);
}

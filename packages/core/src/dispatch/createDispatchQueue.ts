/** Requests released per turn of the event loop, so that a backlog does not delay the next poll. */
const MAX_RELEASED_PER_TURN = 8;

/** Queue of requests that are about to be sent to a server or a peer. */
export interface DispatchQueue {
  /**
   * Resolves in a later turn of the event loop, after the sockets have been polled: a caller's
   * disconnect that arrived before the call has then been noticed. Resolves early for an aborted
   * request, and never rejects.
   */
  wait(signal: AbortSignal): Promise<void>;
  /** Number of waiting requests. */
  size(): number;
}

interface Entry {
  readonly signal: AbortSignal;
  readonly release: () => void;
}

/** Creates a queue that releases requests in their order, a few after each poll of the sockets. */
export function createDispatchQueue(): DispatchQueue {
  let entries: Entry[] = [];
  let isActive = false;

  /** Must be called in the check phase, so that the sockets are polled before the next release. */
  function releaseAfterPoll(): void {
    const polled = entries.length;
    setImmediate(() => {
      const polledEntries = entries.slice(0, polled);
      const live = polledEntries.filter(({ signal }) => !signal.aborted);
      const kept = live.slice(MAX_RELEASED_PER_TURN);
      entries = [...kept, ...entries.slice(polled)];
      const keptEntries = new Set(kept);
      polledEntries.filter((entry) => !keptEntries.has(entry)).forEach(({ release }) => release());
      if (entries.length > 0) {
        releaseAfterPoll();
      } else {
        isActive = false;
      }
    });
  }

  return {
    wait(signal) {
      return new Promise((resolve) => {
        entries.push({ signal, release: resolve });
        if (!isActive) {
          isActive = true;
          setImmediate(releaseAfterPoll);
        }
      });
    },
    size: () => entries.length,
  };
}

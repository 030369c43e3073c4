import type { Clock } from '@camphorbarrow/core';

/** Calls back once at the end of the pass of the event loop that runs, or else of the next one. */
export type AfterPass = (callback: () => void) => void;

/** Connections of a listener that wait to be accepted. */
export interface AcceptBacklog {
  recordAccept(): void;
  /**
   * Time for which connections have been waiting without a break; 0 if none waits. No connection
   * that is accepted now has waited longer.
   */
  ageMs(): number;
}

/**
 * Creates the observation. It answers bursts of new connections at a host that is short of processor
 * time: Node.js accepts one connection in each pass of the event loop, so that they wait in the
 * kernel, where this process cannot see them. While some wait, each pass accepts one; the first pass
 * that accepts none ends the backlog.
 */
export function createAcceptBacklog(
  clock: Clock,
  afterPass: AfterPass = setImmediate,
): AcceptBacklog {
  let sinceMs: number | undefined;
  let hasAccepted = false;

  function endPass(): void {
    if (hasAccepted) {
      hasAccepted = false;
      afterPass(endPass);
    } else {
      sinceMs = undefined;
    }
  }

  return {
    recordAccept() {
      hasAccepted = true;
      if (sinceMs === undefined) {
        sinceMs = clock.monotonicMs();
        afterPass(endPass);
      }
    },
    ageMs: () => (sinceMs === undefined ? 0 : clock.monotonicMs() - sinceMs),
  };
}

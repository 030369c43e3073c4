import type { Clock } from '@camphorbarrow/core';

/**
 * Time after the start of a drain in which new requests are still served, because callers keep
 * using earlier responses of the directory and their open connections.
 */
const SERVE_WHILE_DRAINING_MS = 3_000;
/** Time reserved at the end of the grace period for closing connections. */
const CLOSE_MARGIN_MS = 700;
const POLL_MS = 100;

export interface DrainState {
  isDraining(): boolean;
  /** Whether new requests are rejected. */
  isRejectingRequests(): boolean;
  start(): void;
  /**
   * Resolves when no request is in flight after the serving time, but at the latest shortly before
   * the grace period ends.
   */
  waitUntilDrained(inFlight: () => number): Promise<void>;
}

/** Creates the state of a graceful shutdown. */
export function createDrainState(clock: Clock, graceMs: () => number): DrainState {
  let startAtMs: number | undefined;
  const elapsedMs = (): number => (startAtMs === undefined ? 0 : clock.monotonicMs() - startAtMs);

  return {
    isDraining: () => startAtMs !== undefined,
    isRejectingRequests: () => elapsedMs() > SERVE_WHILE_DRAINING_MS,
    start() {
      startAtMs ??= clock.monotonicMs();
    },
    async waitUntilDrained(inFlight) {
      while (
        elapsedMs() < graceMs() - CLOSE_MARGIN_MS &&
        (elapsedMs() <= SERVE_WHILE_DRAINING_MS || inFlight() > 0)
      ) {
        await clock.sleep(POLL_MS);
      }
    },
  };
}

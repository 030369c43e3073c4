import type { Clock } from '@camphorbarrow/core';

/**
 * Time after the begin of a drain in which requests are still served, because callers keep using
 * the directory's earlier answers and their open connections.
 */
const SERVE_MS = 3_000;
/** Time kept at the end of the grace period for closing connections. */
const CLOSE_MARGIN_MS = 700;
const POLL_MS = 100;

export interface DrainState {
  isDraining(): boolean;
  /** Whether new requests are refused. */
  isRejectingRequests(): boolean;
  start(): void;
  /** Resolves when nothing is in flight any more after the serving time, or the grace is over. */
  waitUntilDrained(inFlight: () => number): Promise<void>;
}

/** Creates the state of a graceful shutdown. */
export function createDrainState(clock: Clock, graceMs: () => number): DrainState {
  let beganAtMs: number | undefined;
  const elapsedMs = (): number => (beganAtMs === undefined ? 0 : clock.monotonicMs() - beganAtMs);

  return {
    isDraining: () => beganAtMs !== undefined,
    isRejectingRequests: () => elapsedMs() > SERVE_MS,
    start() {
      beganAtMs ??= clock.monotonicMs();
    },
    async waitUntilDrained(inFlight) {
      while (
        elapsedMs() < graceMs() - CLOSE_MARGIN_MS &&
        (elapsedMs() <= SERVE_MS || inFlight() > 0)
      ) {
        await clock.sleep(POLL_MS);
      }
    },
  };
}

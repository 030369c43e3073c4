import { setMaxListeners } from 'node:events';
import { waitForPoll } from '@camphorbarrow/core';
import type { Clock } from '@camphorbarrow/core';

/**
 * Time after the start of a drain in which new requests are still served, because callers keep
 * using earlier responses of the directory and their open connections.
 */
const SERVE_WHILE_DRAINING_MS = 3_000;
/** Time reserved at the end of the grace period for closing connections. */
const CLOSE_MARGIN_MS = 700;
/** Part of that time in which the last responses are sent. */
const FLUSH_MS = 400;
const POLL_MS = 100;
const FLUSH_POLL_MS = 5;

/** Progress of a drain, for the log. */
export interface DrainProgress {
  readonly inFlight: number;
  /** Time since the start of the drain. */
  readonly elapsedMs: number;
  readonly graceMs: number;
}

export interface DrainState {
  isDraining(): boolean;
  /** Whether every new request is rejected. */
  isRejectingRequests(): boolean;
  /**
   * Whether a new request is served: always before a drain; during one, only a request whose
   * deadline passes before connections are closed, so that it gets its response in any case.
   */
  acceptsRequest(deadlineAtMs: number): boolean;
  /** Time until connections are closed; undefined before a drain. */
  closesInMs(): number | undefined;
  describe(inFlight: number): DrainProgress;
  /**
   * Starts the drain; further calls are ignored.
   *
   * @param signalledAtMs earliest time at which the process was told to stop; it may have been paused
   */
  start(signalledAtMs: number): void;
  /** Aborts when requests that are still in flight have to end. */
  readonly closing: AbortSignal;
  /** Rejects all further requests and ends those in flight. */
  startClosing(): void;
  /**
   * Resolves when no request is in flight after the serving time, but at the latest shortly before
   * the grace period ends.
   */
  waitUntilDrained(inFlight: () => number): Promise<void>;
  /**
   * Resolves when no connection has to be waited for, but in time before the grace period ends.
   * Requests that have arrived by then have been read.
   *
   * @param pending requests in flight and connections that callers are about to close
   */
  waitUntilFlushed(pending: () => number): Promise<void>;
}

/**
 * Creates the state of a graceful shutdown.
 *
 * @param graceMs time between the signal to stop and the end of the process, read at the start
 */
export function createDrainState(clock: Clock, graceMs: () => number): DrainState {
  let startAtMs = Infinity;
  /** Time at which connections are closed. */
  let closeAtMs = Infinity;
  const closing = new AbortController();
  // Every request in flight listens.
  setMaxListeners(0, closing.signal);

  const isDraining = (): boolean => startAtMs !== Infinity;
  const isRejectingRequests = (): boolean =>
    closing.signal.aborted ||
    clock.monotonicMs() >= Math.min(startAtMs + SERVE_WHILE_DRAINING_MS, closeAtMs);

  return {
    closing: closing.signal,
    isDraining,
    isRejectingRequests,
    acceptsRequest: (deadlineAtMs) => !isRejectingRequests() && deadlineAtMs <= closeAtMs,
    closesInMs: () => (isDraining() ? Math.max(0, closeAtMs - clock.monotonicMs()) : undefined),
    describe: (inFlight) => ({
      inFlight,
      elapsedMs: Math.round(clock.monotonicMs() - startAtMs),
      graceMs: Math.round(closeAtMs + CLOSE_MARGIN_MS - startAtMs),
    }),
    start(signalledAtMs) {
      if (!isDraining()) {
        startAtMs = clock.monotonicMs();
        closeAtMs = signalledAtMs + graceMs() - CLOSE_MARGIN_MS;
      }
    },
    startClosing() {
      closing.abort();
    },
    async waitUntilDrained(inFlight) {
      while (clock.monotonicMs() < closeAtMs && (!isRejectingRequests() || inFlight() > 0)) {
        await clock.sleep(POLL_MS);
      }
    },
    async waitUntilFlushed(pending) {
      const mayWait = (): boolean => clock.monotonicMs() < closeAtMs + FLUSH_MS && pending() > 0;
      do {
        while (mayWait()) {
          await clock.sleep(FLUSH_POLL_MS);
        }
        await waitForPoll();
      } while (mayWait());
    },
  };
}

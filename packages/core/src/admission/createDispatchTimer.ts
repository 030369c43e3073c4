import type { Clock } from '../ports/Clock.js';

/** Interval between two attempts to dispatch the waiting requests. */
const DISPATCH_INTERVAL_MS = 20;

export interface DispatchTimer {
  /** Starts the timer when requests are waiting and it is not running yet. */
  ensureRunning(): void;
}

/**
 * Creates a timer that calls `dispatchWaiting` periodically while requests are waiting. Slots also
 * become available without a release by this entry host, for example when a new load report raises
 * the limit of a server or when a server starts to accept requests again.
 */
export function createDispatchTimer(
  clock: Clock,
  dispatchWaiting: () => void,
  hasWaiting: () => boolean,
): DispatchTimer {
  let running = false;

  async function run(): Promise<void> {
    running = true;
    while (hasWaiting()) {
      await clock.sleep(DISPATCH_INTERVAL_MS);
      dispatchWaiting();
    }
    running = false;
  }

  return {
    ensureRunning() {
      if (!running && hasWaiting()) {
        void run();
      }
    },
  };
}

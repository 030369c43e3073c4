import type { Clock } from '../ports/Clock.js';

/** Interval at which queues are looked at again while work waits. */
const PUMP_INTERVAL_MS = 20;

export interface DispatchTimer {
  /** Starts the timer unless it runs. */
  ensureRunning(): void;
}

/**
 * Creates a timer that calls `pump` while work waits. Places also become free without a release
 * of this entry host: a new load report raises a limit, or a server returns.
 */
export function createDispatchTimer(
  clock: Clock,
  pump: () => void,
  hasWork: () => boolean,
): DispatchTimer {
  let running = false;

  async function run(): Promise<void> {
    running = true;
    while (hasWork()) {
      await clock.sleep(PUMP_INTERVAL_MS);
      pump();
    }
    running = false;
  }

  return {
    ensureRunning() {
      if (!running && hasWork()) {
        void run();
      }
    },
  };
}

import type { Clock } from '../ports/Clock.js';

/** Interval at which queues are looked at again while work waits. */
const PUMP_INTERVAL_MS = 20;

export interface PumpTimer {
  /** Starts the timer unless it runs. */
  ensure(): void;
}

/**
 * Creates a timer that calls `pump` while work waits. Places also become free without a release
 * of this entry host: a new load report raises a limit, or a server returns.
 */
export function createPumpTimer(clock: Clock, pump: () => void, hasWork: () => boolean): PumpTimer {
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
    ensure() {
      if (!running && hasWork()) {
        void run();
      }
    },
  };
}

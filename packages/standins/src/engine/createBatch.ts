export interface Batch {
  /** Waits for a slot in the batch; resolves to a function that releases it. */
  acquireSlot(priority: number, tokens: number, signal: AbortSignal): Promise<() => void>;
  running(): number;
  waiting(): number;
  waitingTokens(): number;
}

interface Waiter {
  readonly priority: number;
  readonly tokens: number;
  readonly arrival: number;
  readonly start: () => void;
}

/**
 * Creates the slots of a continuous batch. They are assigned by priority, the lowest number first,
 * and then by arrival.
 */
export function createBatch(maxRunning: number): Batch {
  const waiters: Waiter[] = [];
  let running = 0;
  let arrivals = 0;

  function startNext(): void {
    waiters.sort((a, b) => a.priority - b.priority || a.arrival - b.arrival);
    while (running < maxRunning && waiters.length > 0) {
      running += 1;
      waiters.shift()?.start();
    }
  }

  function createRelease(): () => void {
    let released = false;
    return () => {
      if (!released) {
        released = true;
        running -= 1;
        startNext();
      }
    };
  }

  return {
    acquireSlot(priority, tokens, signal) {
      return new Promise((resolve, reject) => {
        arrivals += 1;
        const waiter: Waiter = {
          priority,
          tokens,
          arrival: arrivals,
          start: () => resolve(createRelease()),
        };
        signal.addEventListener('abort', () => {
          const index = waiters.indexOf(waiter);
          if (index >= 0) {
            waiters.splice(index, 1);
            reject(signal.reason as Error);
          }
        });
        waiters.push(waiter);
        startNext();
      });
    },
    running: () => running,
    waiting: () => waiters.length,
    waitingTokens: () => waiters.reduce((sum, waiter) => sum + waiter.tokens, 0),
  };
}

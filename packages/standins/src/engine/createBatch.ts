export interface Batch {
  /** Waits for a place in the batch; resolves to the function that gives it back. */
  acquireSlot(priority: number, tokens: number, signal: AbortSignal): Promise<() => void>;
  running(): number;
  waiting(): number;
  waitingTokens(): number;
}

interface Waiter {
  readonly priority: number;
  readonly tokens: number;
  readonly order: number;
  readonly start: () => void;
}

/** Places of a continuous batch, given to waiting requests by priority and then by arrival. */
export function createBatch(maxRunning: number): Batch {
  const waiters: Waiter[] = [];
  let running = 0;
  let arrivals = 0;

  function startNext(): void {
    waiters.sort((a, b) => a.priority - b.priority || a.order - b.order);
    while (running < maxRunning && waiters.length > 0) {
      running += 1;
      waiters.shift()?.start();
    }
  }

  function createLeave(): () => void {
    let left = false;
    return () => {
      if (!left) {
        left = true;
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
          order: arrivals,
          start: () => resolve(createLeave()),
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

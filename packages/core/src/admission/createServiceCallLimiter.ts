import { OverloadedError } from '../errors/OverloadedError.js';
import type { RequestContext } from '../requests/RequestContext.js';
import type { FairQueueEntry } from './FairQueue.js';
import { createFairQueue } from './createFairQueue.js';

const RETRY_AFTER_MS = 1_000;
/** One call per customer and turn. */
const QUANTUM_CALLS = 1;

interface WaitingCall extends FairQueueEntry {
  readonly start: () => void;
  readonly refuse: () => void;
}

export interface ServiceCallLimiter {
  /**
   * Runs a service call when it has a place. Rejects with `OverloadedError` when the lane is full
   * and with the signal's reason when the caller leaves while waiting; the call has not run then.
   */
  run<Answer>(
    facts: RequestContext,
    call: () => Promise<Answer>,
    signal: AbortSignal,
  ): Promise<Answer>;
  /** Calls running. */
  inFlight(): number;
}

/**
 * Creates the lane of orders and status checks, apart from the queues of inference requests. At
 * most `maxServiceCalls` run and as many wait; customers take turns.
 */
export function createServiceCallLimiter(): ServiceCallLimiter {
  const queue = createFairQueue<WaitingCall>(QUANTUM_CALLS);
  let inFlight = 0;

  function startWaiting(maxServiceCalls: number): void {
    while (inFlight < maxServiceCalls) {
      const next = queue.dequeue(
        () => true,
        () => true,
      );
      if (next === undefined) {
        return;
      }
      inFlight += 1;
      next.start();
    }
  }

  function enter({ customerId, settings }: RequestContext, signal: AbortSignal): Promise<void> {
    const { maxServiceCalls } = settings.admission;
    return new Promise((resolve, reject) => {
      if (signal.aborted) {
        reject(signal.reason);
        return;
      }
      let onAbort = (): void => undefined;
      const settle = (action: () => void): void => {
        signal.removeEventListener('abort', onAbort);
        action();
      };
      const waiting: WaitingCall = {
        customerId,
        cost: 1,
        start: () => settle(resolve),
        refuse: () =>
          settle(() => {
            const props = { retryAfterMs: RETRY_AFTER_MS };
            reject(new OverloadedError('Too many service calls are waiting.', { props }));
          }),
      };
      onAbort = () => {
        queue.remove(waiting);
        reject(signal.reason);
      };
      signal.addEventListener('abort', onAbort, { once: true });
      const bounds = { maxEntries: maxServiceCalls, maxCost: Infinity };
      const evicted = queue.enqueue(waiting, bounds, false);
      evicted.forEach(({ refuse }) => refuse());
      startWaiting(maxServiceCalls);
    });
  }

  return {
    async run(facts, call, signal) {
      await enter(facts, signal);
      try {
        return await call();
      } finally {
        inFlight -= 1;
        startWaiting(facts.settings.admission.maxServiceCalls);
      }
    },
    inFlight: () => inFlight,
  };
}

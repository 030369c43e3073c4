import { OverloadedError } from '../errors/OverloadedError.js';
import type { RequestContext } from '../requests/RequestContext.js';
import type { FairQueueEntry } from './FairQueue.js';
import { createFairQueue } from './createFairQueue.js';

const RETRY_AFTER_MS = 1_000;
/** Calls credited to a customer per turn. */
const QUANTUM_CALLS = 1;

interface WaitingCall extends FairQueueEntry {
  readonly start: () => void;
  readonly rejectOverloaded: () => void;
}

export interface ServiceCallLimiter {
  /**
   * Runs a service call as soon as a slot is free. Rejects with `OverloadedError` when the queue is
   * full, and with the signal's reason when the caller disconnects while the call waits. The call
   * has not run in either case.
   */
  run<Result>(
    context: RequestContext,
    call: () => Promise<Result>,
    signal: AbortSignal,
  ): Promise<Result>;
  /** Number of running calls. */
  inFlight(): number;
}

/**
 * Creates the limiter for orders and status checks, which do not share the queues of inference
 * requests. At most `maxServiceCalls` calls run and as many wait. Customers are served round robin.
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

  function waitForSlot(
    { customerId, settings }: RequestContext,
    signal: AbortSignal,
  ): Promise<void> {
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
        rejectOverloaded: () =>
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
      evicted.forEach(({ rejectOverloaded }) => rejectOverloaded());
      startWaiting(maxServiceCalls);
    });
  }

  return {
    async run(context, call, signal) {
      await waitForSlot(context, signal);
      try {
        return await call();
      } finally {
        inFlight -= 1;
        startWaiting(context.settings.admission.maxServiceCalls);
      }
    },
    inFlight: () => inFlight,
  };
}

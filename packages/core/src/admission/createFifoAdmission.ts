import { OverloadedError } from '../errors/OverloadedError.js';
import type { Clock } from '../ports/Clock.js';
import type { AdmissionController } from './AdmissionController.js';
import type { DispatchLimit } from './DispatchLimit.js';
import { createDispatchTimer } from './createDispatchTimer.js';

const RETRY_AFTER_MS = 1_000;

export interface FifoAdmissionOptions {
  readonly clock: Clock;
  readonly dispatchLimit: DispatchLimit;
}

interface WaitingRequest {
  /** Tries to dispatch the request. Returns true when it has been dispatched or has failed. */
  readonly tryDispatch: () => boolean;
}

/** Baseline with one bounded FIFO queue for both ranks. */
export function createFifoAdmission(options: FifoAdmissionOptions): AdmissionController {
  let queue: WaitingRequest[] = [];

  function dispatchWaiting(): void {
    while (queue[0]?.tryDispatch() === true) {
      queue.shift();
    }
  }

  const timer = createDispatchTimer(options.clock, dispatchWaiting, () => queue.length > 0);

  return {
    admit({ request, reserveSlot }, signal) {
      return new Promise((resolve, reject) => {
        if (signal.aborted) {
          reject(signal.reason);
          return;
        }
        if (queue.length >= request.settings.admission.maxQueuedRequests) {
          const props = { retryAfterMs: RETRY_AFTER_MS };
          reject(new OverloadedError('The admission queue is full.', { props }));
          return;
        }
        const tryDispatch = (): boolean => {
          try {
            const slot = reserveSlot(
              (server) => server.ownInFlightRequests < options.dispatchLimit(server),
            );
            if (slot === undefined) {
              return false;
            }
            resolve(slot);
          } catch (error) {
            reject(error);
          }
          return true;
        };
        const waiting: WaitingRequest = { tryDispatch };
        queue.push(waiting);
        signal.addEventListener(
          'abort',
          () => {
            queue = queue.filter((candidate) => candidate !== waiting);
            reject(signal.reason);
          },
          { once: true },
        );
        dispatchWaiting();
        timer.ensureRunning();
      });
    },
    onSlotReleased: dispatchWaiting,
    observe: () => undefined,
    queuedRequests: () => queue.length,
  };
}

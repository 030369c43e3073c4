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

interface Waiting {
  /** Returns true when the entry has left the queue. */
  readonly attempt: () => boolean;
}

/** Baseline: one bounded queue for both ranks, first in, first out. */
export function createFifoAdmission(options: FifoAdmissionOptions): AdmissionController {
  let queue: Waiting[] = [];

  function pump(): void {
    while (queue[0]?.attempt() === true) {
      queue.shift();
    }
  }

  const timer = createDispatchTimer(options.clock, pump, () => queue.length > 0);

  return {
    admit({ request, reserveSlot: place }, signal) {
      return new Promise((resolve, reject) => {
        if (queue.length >= request.settings.admission.maxQueuedRequests) {
          const props = { retryAfterMs: RETRY_AFTER_MS };
          reject(new OverloadedError('The queue is full.', { props }));
          return;
        }
        const attempt = (): boolean => {
          try {
            const placement = place(
              (server) => server.ownInFlightRequests < options.dispatchLimit(server),
            );
            if (placement === undefined) {
              return false;
            }
            resolve(placement);
          } catch (error) {
            reject(error);
          }
          return true;
        };
        const waiting: Waiting = { attempt };
        queue.push(waiting);
        signal.addEventListener(
          'abort',
          () => {
            queue = queue.filter((candidate) => candidate !== waiting);
            reject(signal.reason);
          },
          { once: true },
        );
        pump();
        timer.ensureRunning();
      });
    },
    onSlotReleased: pump,
    observe: () => undefined,
    queuedRequests: () => queue.length,
  };
}

import { OverloadedError } from '../errors/OverloadedError.js';
import type { Clock } from '../ports/Clock.js';
import type { WaitCorrection } from '../routing/createWaitCorrection.js';
import type { AdmissionController } from './AdmissionController.js';

/**
 * Wraps an admission controller and records its wait times, which the spill decision compares with
 * those of other regions. A rejected request is recorded as a wait of its `retryAfterMs`.
 */
export function observeAdmissionWait(
  admission: AdmissionController,
  clock: Clock,
  waits: WaitCorrection,
): AdmissionController {
  return {
    ...admission,
    async admit(entry, signal) {
      const { rank } = entry.request;
      const startedAtMs = clock.monotonicMs();
      try {
        const slot = await admission.admit(entry, signal);
        const nowMs = clock.monotonicMs();
        waits.observe(rank, nowMs - startedAtMs, nowMs);
        return slot;
      } catch (error) {
        if (error instanceof OverloadedError) {
          waits.observe(rank, error.retryAfterMs ?? 0, clock.monotonicMs());
        }
        throw error;
      }
    },
  };
}

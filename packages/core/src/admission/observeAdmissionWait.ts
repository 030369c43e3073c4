import { OverloadedError } from '../errors/OverloadedError.js';
import type { Clock } from '../ports/Clock.js';
import type { WaitCorrection } from '../routing/createWaitCorrection.js';
import type { AdmissionController } from './AdmissionController.js';

/**
 * Wraps an admission so that its waits are known to the comparison with other regions. A refused
 * request counts with the wait that its refusal names.
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
        const placement = await admission.admit(entry, signal);
        const nowMs = clock.monotonicMs();
        waits.observe(rank, nowMs - startedAtMs, nowMs);
        return placement;
      } catch (error) {
        if (error instanceof OverloadedError) {
          waits.observe(rank, error.retryAfterMs ?? 0, clock.monotonicMs());
        }
        throw error;
      }
    },
  };
}

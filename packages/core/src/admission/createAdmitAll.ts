import { OverloadedError } from '../errors/OverloadedError.js';
import type { AdmissionController } from './AdmissionController.js';

/** Baseline without admission control. All requests are sent at once and wait in the engines. */
export function createAdmitAll(): AdmissionController {
  return {
    async admit({ reserveSlot }) {
      const slot = reserveSlot(() => true);
      if (slot === undefined) {
        throw new OverloadedError('No backend server can be selected for the request.');
      }
      return slot;
    },
    onSlotReleased: () => undefined,
    observe: () => undefined,
    queuedRequests: () => 0,
  };
}

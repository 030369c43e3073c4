import { OverloadedError } from '../errors/OverloadedError.js';
import type { AdmissionController } from './AdmissionController.js';

/** Baseline: every request is sent at once, and all waiting happens in the engines. */
export function createAdmitAll(): AdmissionController {
  return {
    async admit({ reserveSlot: place }) {
      const placement = place(() => true);
      if (placement === undefined) {
        throw new OverloadedError('The route choice found no backend server.');
      }
      return placement;
    },
    onSlotReleased: () => undefined,
    observe: () => undefined,
    queuedRequests: () => 0,
  };
}

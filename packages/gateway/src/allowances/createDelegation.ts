import { SLOT_COUNT } from './allowanceSlots.js';
import { MAX_DELEGATED_MS } from './createDelegatedShare.js';
import type { FleetShare } from './createFleetShare.js';

/** This host's part of the rates that it has not delegated yet. */
export interface Delegation {
  /**
   * Takes the time for which no owner of the slot got this host's part, in ms.
   *
   * @param maxMs limit; what is beyond it is lost
   */
  take(slot: number, maxMs: number): number;
}

/** Creates the delegation of a host; each slot gets the whole time, because its customers differ. */
export function createDelegation(fleetShare: Pick<FleetShare, 'takeElapsedMs'>): Delegation {
  const remainingMs = Array<number>(SLOT_COUNT).fill(0);

  return {
    take(slot, maxMs) {
      const elapsedMs = fleetShare.takeElapsedMs();
      remainingMs.forEach((ms, each) => {
        remainingMs[each] = Math.min(MAX_DELEGATED_MS, ms + elapsedMs);
      });
      const availableMs = Math.min(maxMs, remainingMs[slot] ?? 0);
      const takenMs = Math.floor(availableMs);
      remainingMs[slot] = availableMs - takenMs;
      return takenMs;
    },
  };
}

import type { Rank } from '../requests/Rank.js';

export interface MinimumShareTracker {
  /**
   * Notes a dispatch.
   *
   * @param patientWaits whether patient requests were waiting
   * @param patientShareRatio minimum share of dispatched cost for the patient rank
   */
  recordDispatch(rank: Rank, cost: number, patientWaits: boolean, patientShareRatio: number): void;
  /** Whether the next dispatch has to be a patient one. */
  mustDispatchPatient(): boolean;
}

/**
 * Keeps the patient rank's minimum share of the dispatched cost. Every urgent dispatch
 * earns credit, which is kept only while patient requests wait; a patient dispatch that was owed
 * uses it up, one that found a free place does not. While patient requests wait without
 * interruption, the share of the total dispatched cost less the patient cost is at most the share
 * of the largest urgent cost plus the debt left by one patient dispatch.
 */
export function createMinimumShareTracker(): MinimumShareTracker {
  let credit = 0;

  return {
    recordDispatch(rank, cost, patientWaits, patientShareRatio) {
      if (rank === 'urgent') {
        const earned = credit + cost * patientShareRatio;
        credit = patientWaits ? earned : Math.min(0, earned);
      } else if (credit > 0) {
        credit -= cost * (1 - patientShareRatio);
      }
    },
    mustDispatchPatient: () => credit > 0,
  };
}

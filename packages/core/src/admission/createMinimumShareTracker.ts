import type { Rank } from '../requests/Rank.js';

export interface MinimumShareTracker {
  /**
   * Records a dispatch.
   *
   * @param isPatientWaiting whether patient requests were waiting
   * @param patientShareRatio minimum share of dispatched cost for the patient rank
   */
  recordDispatch(
    rank: Rank,
    cost: number,
    isPatientWaiting: boolean,
    patientShareRatio: number,
  ): void;
  /** Whether the next dispatch has to be of the patient rank, which is below its minimum share. */
  mustDispatchPatient(): boolean;
}

/**
 * Creates the tracker that guarantees the patient rank its minimum share of the dispatched cost.
 * Every urgent dispatch adds credit, which is kept only while patient requests wait. A patient
 * dispatch consumes credit while the credit is positive; a patient dispatch into a slot that was
 * free anyway does not. While patient requests wait without interruption, the patient cost falls
 * short of its share of the total dispatched cost by at most that share of the largest urgent cost
 * plus the negative credit that one patient dispatch can cause.
 */
export function createMinimumShareTracker(): MinimumShareTracker {
  let credit = 0;

  return {
    recordDispatch(rank, cost, isPatientWaiting, patientShareRatio) {
      if (rank === 'urgent') {
        const earned = credit + cost * patientShareRatio;
        credit = isPatientWaiting ? earned : Math.min(0, earned);
      } else if (credit > 0) {
        credit -= cost * (1 - patientShareRatio);
      }
    },
    mustDispatchPatient: () => credit > 0,
  };
}

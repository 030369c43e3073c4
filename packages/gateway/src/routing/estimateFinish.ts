import { mostUrgentRank } from '../model/mostUrgentRank.js';
import type { RoutingRequest } from './Destination.js';

/** Weight of the time to the end of an answer against the time to its first event. */
const FINISH_RATIO = 0.3;
/** Weight of the delay that reading an urgent prompt means for each stream of the engine. */
const URGENT_DISTURBANCE_RATIO = 0.06;
/** The same for prompts of other ranks, which make way for the streams. */
const DISTURBANCE_RATIO = 0.16;

export interface EngineTiming {
  readonly msPerEvent: number;
  /** Time in which the engine reads the prompt. */
  readonly readMs: number;
  /** Requests that the engine runs. */
  readonly running: number;
}

export interface FinishEstimate {
  /** Time from the first event to the end of the answer. */
  readonly finishMs: number;
  /** The same for an answer of the usual length. */
  readonly typicalFinishMs: number;
  /** What the end of the answer and the delay of other streams add to a choice's score. */
  readonly scoreMs: number;
}

/** What comes after the first event, for the request and for those that run beside it. */
export function estimateFinish(demand: RoutingRequest, pace: EngineTiming): FinishEstimate {
  const finishMs = demand.expectedEvents * pace.msPerEvent;
  const ratio = demand.route.rank === mostUrgentRank ? URGENT_DISTURBANCE_RATIO : DISTURBANCE_RATIO;
  const typicalFinishMs = demand.typicalEvents * pace.msPerEvent;
  return {
    finishMs,
    typicalFinishMs,
    scoreMs: finishMs * FINISH_RATIO + pace.readMs * pace.running * ratio,
  };
}

import { mostUrgentRank } from '../model/mostUrgentRank.js';
import type { RoutingRequest } from './Destination.js';

/** Weight of the time after the first event, relative to the time until it. */
const FINISH_WEIGHT = 0.3;
/** Weight of the delay that the prefill of an urgent prompt causes to each running stream. */
const URGENT_DISTURBANCE_RATIO = 0.06;
/** The same for prompts of other ranks, which have to give way to the streams. */
const DISTURBANCE_RATIO = 0.16;

/** Timing of an engine, as far as it affects a request after its first event. */
export interface EngineTiming {
  readonly msPerEvent: number;
  /** Prefill time of the prompt. */
  readonly prefillMs: number;
  /** Number of requests that the engine is running. */
  readonly running: number;
}

/** Estimates for the part of a response after its first event. */
export interface FinishEstimate {
  /** Time from the first event to the end of the response. */
  readonly finishMs: number;
  /** Like `finishMs`, for a response of typical length. */
  readonly typicalFinishMs: number;
  /** Contribution of the response duration and of the delay of other streams to the score. */
  readonly scoreMs: number;
}

/** Estimates the time after the first event and the delay that other running requests incur. */
export function estimateFinish(request: RoutingRequest, timing: EngineTiming): FinishEstimate {
  const finishMs = request.expectedEvents * timing.msPerEvent;
  const disturbanceRatio =
    request.route.rank === mostUrgentRank ? URGENT_DISTURBANCE_RATIO : DISTURBANCE_RATIO;
  const typicalFinishMs = request.typicalEvents * timing.msPerEvent;
  return {
    finishMs,
    typicalFinishMs,
    scoreMs: finishMs * FINISH_WEIGHT + timing.prefillMs * timing.running * disturbanceRatio,
  };
}

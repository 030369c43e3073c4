import type { RandomSource } from '@camphorbarrow/core';
import { mostUrgentRank } from '../model/mostUrgentRank.js';

/**
 * Delay of the event loop from which the host counts as busy. A request passes through the loop about
 * six times until its response begins, so that this is most of a target of 800 ms.
 */
const BUSY_DELAY_MS = 100;
/** Consecutive busy samples that make an overload; a pause of the process is a single late sample. */
const SUSTAINED_SAMPLES = 3;
/** Change of the admitted part of the requests at each sample, during an overload and after it. */
const DECREASE_RATIO = 0.7;
const INCREASE = 0.1;
/** Part that is admitted in any case, so that the host notices when it keeps up again. */
const MIN_ADMITTED_RATIO = 0.1;

/** Decides which requests a host takes that is short of processor time. */
export interface HostOverload {
  /** Records a sample of the delay of the event loop, taken about every 100 ms. */
  recordDelay(delayMs: number): void;
  /** Whether a new request of this rank is served; it is rejected at once otherwise. */
  admits(rank: number): boolean;
  /** Part of the most urgent requests that is served; 1 in calm. */
  admittedRatio(): number;
}

/**
 * Creates the decision for one host. It answers a burst that takes more processor time than the host
 * has: the event loop falls behind, every request waits at each step, and all of them end after their
 * deadlines, whatever room the servers have. With fewer requests, those that are served are in time.
 * Less urgent requests are rejected more often.
 */
export function createHostOverload(random: RandomSource): HostOverload {
  let busySamples = 0;
  let admittedRatio = 1;

  return {
    recordDelay(delayMs) {
      busySamples = delayMs >= BUSY_DELAY_MS ? busySamples + 1 : 0;
      admittedRatio =
        busySamples >= SUSTAINED_SAMPLES
          ? Math.max(MIN_ADMITTED_RATIO, admittedRatio * DECREASE_RATIO)
          : Math.min(1, admittedRatio + (busySamples === 0 ? INCREASE : 0));
    },
    admits: (rank) =>
      admittedRatio >= 1 ||
      random.next() < (rank === mostUrgentRank ? admittedRatio : admittedRatio ** 2),
    admittedRatio: () => admittedRatio,
  };
}

import type { RegionId } from '../../ids/RegionId.js';
import type { Clock } from '../../ports/Clock.js';

export interface RegionDelays {
  /**
   * Records a heartbeat to an entry host of a region; `roundTripMs` is undefined when it failed.
   */
  record(regionId: RegionId, roundTripMs: number | undefined): void;
  /**
   * Moving average of the round trips; undefined when unknown, outdated or when heartbeats fail.
   */
  roundTripMs(regionId: RegionId): number | undefined;
}

interface Delay {
  roundTripMs: number | undefined;
  succeededAtMs: number;
  consecutiveFailures: number;
}

const SAMPLE_WEIGHT = 0.2;
/**
 * In a fleet of the target size, an entry host sends a heartbeat to each region every few seconds.
 */
const MAX_AGE_MS = 30_000;
/** A single failed entry host must not make its whole region count as unreachable. */
const MAX_CONSECUTIVE_FAILURES = 3;

/**
 * Creates the tracker of round trips to other regions, measured by this entry host's heartbeats.
 */
export function createRegionDelays(clock: Clock): RegionDelays {
  const delays = new Map<RegionId, Delay>();

  return {
    record(regionId, roundTripMs) {
      const known = delays.get(regionId);
      const delay = known ?? { roundTripMs: undefined, succeededAtMs: 0, consecutiveFailures: 0 };
      delays.set(regionId, delay);
      if (roundTripMs === undefined) {
        delay.consecutiveFailures += 1;
        return;
      }
      const old = delay.roundTripMs ?? roundTripMs;
      delay.roundTripMs = old + SAMPLE_WEIGHT * (roundTripMs - old);
      delay.succeededAtMs = clock.monotonicMs();
      delay.consecutiveFailures = 0;
    },
    roundTripMs(regionId) {
      const delay = delays.get(regionId);
      if (delay === undefined || delay.consecutiveFailures >= MAX_CONSECUTIVE_FAILURES) {
        return undefined;
      }
      const ageMs = clock.monotonicMs() - delay.succeededAtMs;
      return ageMs > MAX_AGE_MS ? undefined : delay.roundTripMs;
    },
  };
}

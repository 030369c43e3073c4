import type { RegionId } from '../../ids/RegionId.js';
import type { Clock } from '../../ports/Clock.js';

export interface RegionDelays {
  /** Records a heartbeat to an entry host of a region; undefined when it failed. */
  record(regionId: RegionId, roundTripMs: number | undefined): void;
  /** Typical round trip; undefined when unknown, too old or when heartbeats fail. */
  roundTripMs(regionId: RegionId): number | undefined;
}

interface Delay {
  roundTripMs: number | undefined;
  succeededAtMs: number;
  failuresInRow: number;
}

const WEIGHT_OF_NEW_SAMPLE = 0.2;
/** At the target size an entry host reaches each region every few seconds. */
const MAX_AGE_MS = 30_000;
/** One dead host of a region must not make the whole region unreachable. */
const MAX_FAILURES_IN_ROW = 3;

/** Creates the record of round trips to other regions, taken from own heartbeats. */
export function createRegionDelays(clock: Clock): RegionDelays {
  const delays = new Map<RegionId, Delay>();

  return {
    record(regionId, roundTripMs) {
      const known = delays.get(regionId);
      const delay = known ?? { roundTripMs: undefined, succeededAtMs: 0, failuresInRow: 0 };
      delays.set(regionId, delay);
      if (roundTripMs === undefined) {
        delay.failuresInRow += 1;
        return;
      }
      const old = delay.roundTripMs ?? roundTripMs;
      delay.roundTripMs = old + WEIGHT_OF_NEW_SAMPLE * (roundTripMs - old);
      delay.succeededAtMs = clock.monotonicMs();
      delay.failuresInRow = 0;
    },
    roundTripMs(regionId) {
      const delay = delays.get(regionId);
      if (delay === undefined || delay.failuresInRow >= MAX_FAILURES_IN_ROW) {
        return undefined;
      }
      const ageMs = clock.monotonicMs() - delay.succeededAtMs;
      return ageMs > MAX_AGE_MS ? undefined : delay.roundTripMs;
    },
  };
}

import type { Clock } from '../ports/Clock.js';
import type { BurnMinuteCounts } from './BurnMinuteCounts.js';
import type { ServiceClass } from './ServiceClass.js';
import type { ServiceResult } from './ServiceResult.js';

export interface BurnCounters {
  record(serviceClass: ServiceClass, result: ServiceResult): void;
  /** Counts per minute, oldest first, for the longest window of the report. */
  minutes(): readonly BurnMinuteCounts[];
}

type Counts = Partial<Record<ServiceClass, Partial<Record<ServiceResult, number>>>>;

const MS_PER_MINUTE = 60_000;
/** The longest window of the report (six hours) and the current minute. */
const RETAINED_MINUTES = 361;

/** Creates the counters of one entry host. Memory is bounded by the number of retained minutes. */
export function createBurnCounters(clock: Clock): BurnCounters {
  const minutes = new Map<number, Counts>();

  function removeExpired(currentMinute: number): void {
    [...minutes.keys()]
      .filter((minute) => minute <= currentMinute - RETAINED_MINUTES)
      .forEach((minute) => minutes.delete(minute));
  }

  function countsOf(minute: number): Counts {
    const known = minutes.get(minute);
    if (known !== undefined) {
      return known;
    }
    removeExpired(minute);
    const counts: Counts = {};
    minutes.set(minute, counts);
    return counts;
  }

  return {
    record(serviceClass, result) {
      const counts = countsOf(Math.floor(clock.nowMs() / MS_PER_MINUTE));
      const byResult = counts[serviceClass] ?? {};
      counts[serviceClass] = byResult;
      byResult[result] = (byResult[result] ?? 0) + 1;
    },
    minutes() {
      removeExpired(Math.floor(clock.nowMs() / MS_PER_MINUTE));
      return [...minutes]
        .sort(([a], [b]) => a - b)
        .map(([minute, counts]) => ({ minute, counts: structuredClone(counts) }));
    },
  };
}

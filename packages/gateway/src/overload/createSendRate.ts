import type { Clock } from '@camphorbarrow/core';
import type { ServiceName } from '../model/ServiceName.js';

/** About as long as an engine holds a request. */
const DEFAULT_AVERAGING_MS = 2_000;

/** Rate at which this host sends requests, by service. */
export interface SendRate {
  recordSend(service: ServiceName): void;
  /** Exponential moving average, in requests per second. */
  perSecond(service: ServiceName): number;
}

interface Average {
  perSecond: number;
  updatedAtMs: number;
}

/**
 * Creates a rate without any sends.
 *
 * @param averagingMs time constant of the average; 2,000 by default
 */
export function createSendRate(clock: Clock, averagingMs = DEFAULT_AVERAGING_MS): SendRate {
  const averages = new Map<ServiceName, Average>();

  function decay(service: ServiceName): Average {
    const nowMs = clock.monotonicMs();
    const average = averages.get(service) ?? { perSecond: 0, updatedAtMs: nowMs };
    average.perSecond *= Math.exp((average.updatedAtMs - nowMs) / averagingMs);
    average.updatedAtMs = nowMs;
    averages.set(service, average);
    return average;
  }

  return {
    recordSend(service) {
      decay(service).perSecond += 1_000 / averagingMs;
    },
    perSecond: (service) => decay(service).perSecond,
  };
}

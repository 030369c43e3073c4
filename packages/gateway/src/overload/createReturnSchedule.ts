import type { Clock, RandomSource } from '@camphorbarrow/core';
import type { ServiceName } from '../model/ServiceName.js';
import type { SendRate } from './createSendRate.js';

/** Minimum delay; a connection and the reading of a request take about as long. */
const MIN_DELAY_MS = 100;
/** Part of their remaining time up to which callers wait before they return. */
const HONOURED_RATIO = 1 / 3;
/** Part of the requests that a host sends which returning callers may be; the rest are new ones. */
const RETURN_RATIO = 0.25;
/** Rate assumed for a host that has sent next to nothing lately, so that its slots are not endless. */
const MIN_SENDS_PER_SECOND = 2;

/** Rejected request whose caller is told when to return. */
export interface Rejection {
  readonly service: ServiceName;
  /** Time until the queue that led to the rejection is expected to be short enough. */
  readonly roomInMs: number;
  /** Time until the deadline of the caller. */
  readonly remainingMs: number;
}

/** Time at which a rejected caller may return. */
export interface BookedReturn {
  readonly delayMs: number;
  /** Whether a slot was free within the time for which the caller waits. */
  readonly isSlot: boolean;
}

/** Return times of the callers that this host rejects for overload. */
export interface ReturnSchedule {
  book(rejection: Rejection): BookedReturn;
  /** Number of callers with a slot that has not come yet. */
  outstanding(service: ServiceName): number;
}

export interface ReturnScheduleOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly sends: Pick<SendRate, 'perSecond'>;
}

/**
 * Creates the schedule. It answers a burst: callers that are rejected in the same moment with the
 * same delay come back in the same moment, find the queue as full as before, and are rejected for
 * good. Each caller therefore gets a slot of its own. The slots begin when room is expected and are
 * as far apart as the service takes requests of this host. Callers for which no slot is left within
 * the time that they wait return at a random one late in that time.
 *
 * The slots are kept in memory: a caller may return to any host, and one that lost its slots with a
 * restart has lost its queue estimates, too.
 */
export function createReturnSchedule(options: ReturnScheduleOptions): ReturnSchedule {
  const { clock, random, sends } = options;
  const nextSlotAtMs = new Map<ServiceName, number>();

  function intervalMs(service: ServiceName): number {
    const rate = Math.max(MIN_SENDS_PER_SECOND, sends.perSecond(service));
    return 1_000 / (rate * RETURN_RATIO);
  }

  return {
    book({ service, roomInMs, remainingMs }) {
      const nowMs = clock.monotonicMs();
      const longestMs = Math.max(MIN_DELAY_MS, remainingMs * HONOURED_RATIO);
      const earliestMs = Math.max(MIN_DELAY_MS, roomInMs);
      const slotMs = Math.max(earliestMs, (nextSlotAtMs.get(service) ?? 0) - nowMs);
      if (slotMs > longestMs) {
        return { delayMs: longestMs * (0.5 + 0.5 * random.next()), isSlot: false };
      }
      nextSlotAtMs.set(service, nowMs + slotMs + intervalMs(service));
      return { delayMs: slotMs, isSlot: true };
    },
    outstanding(service) {
      const bookedMs = (nextSlotAtMs.get(service) ?? 0) - clock.monotonicMs();
      return Math.max(0, Math.round(bookedMs / intervalMs(service)));
    },
  };
}

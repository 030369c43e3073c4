import type { Arrival } from './Arrival.js';
import type { FaultInterval } from './FaultInterval.js';
import type { Violation } from './Violation.js';

/** Zone in the home region of the route `bound`. */
const HOME_ZONE = 'south-a';
/** Zone that the fault `evacuation` evacuates. */
const EVACUATED_ZONE = 'north-a';
/** Time until an evacuated zone must be free of requests: the platform's `evacuation_ms`. */
const EVACUATION_MS = 5_000;
/** Retry budget of a window: `budget_ratio`, `budget_slack`, `budget_window_s`. */
const RETRY_RATIO = 0.2;
const RETRY_SLACK = 52;
const RETRY_WINDOW_MS = 10_000;

export interface ArrivalEvidence {
  readonly arrivals: readonly Arrival[];
  readonly faultIntervals: readonly FaultInterval[];
}

function checkHomes(arrivals: readonly Arrival[]): Violation[] {
  return arrivals
    .filter(({ target, zone }) => target.startsWith('/bound/') && zone !== HOME_ZONE)
    .map(({ attemptId, zone }) => ({ promise: 'home', detail: `${attemptId} ran in ${zone}` }));
}

/**
 * A host that cannot reach the store learns of an evacuation late, so a request is not checked when
 * a store fault overlapped the evacuation before the request arrived.
 */
function checkEvacuations({ arrivals, faultIntervals }: ArrivalEvidence): Violation[] {
  const storeFaults = faultIntervals.filter(({ kind }) => kind.startsWith('store-'));
  return faultIntervals
    .filter(({ kind }) => kind === 'evacuation')
    .flatMap(({ startedAtMs, endedAtMs }) =>
      arrivals
        .filter(
          ({ zone, atMs }) =>
            zone === EVACUATED_ZONE &&
            atMs > startedAtMs + EVACUATION_MS &&
            atMs < endedAtMs &&
            !storeFaults.some(
              (fault) => fault.startedAtMs <= atMs && fault.effectsEndAtMs >= startedAtMs,
            ),
        )
        .map(({ attemptId, atMs }) => ({
          promise: 'evacuation' as const,
          detail: `${attemptId} ran ${Math.round(atMs - startedAtMs)} ms after the evacuation`,
        })),
    );
}

function checkBudget(arrivals: readonly Arrival[]): Violation[] {
  const ordered = [...arrivals].sort((a, b) => a.atMs - b.atMs);
  const seenAttemptIds = new Set<string>();
  const events = ordered.map(({ attemptId, atMs }) => {
    const isRetry = seenAttemptIds.has(attemptId);
    seenAttemptIds.add(attemptId);
    return { atMs, isRetry };
  });
  const exceeded = events.find(({ atMs }) => {
    const window = events.filter(
      (event) => event.atMs <= atMs && event.atMs > atMs - RETRY_WINDOW_MS,
    );
    const retries = window.filter(({ isRetry }) => isRetry).length;
    return retries > RETRY_SLACK + RETRY_RATIO * (window.length - retries);
  });
  return exceeded === undefined
    ? []
    : [
        {
          promise: 'budget',
          detail: `too many retries in the window that ends at ${exceeded.atMs} ms`,
        },
      ];
}

/** Checks home regions, evacuations and the retry budget by the requests that servers accepted. */
export function checkArrivals(evidence: ArrivalEvidence): Violation[] {
  const { arrivals } = evidence;
  return [...checkHomes(arrivals), ...checkEvacuations(evidence), ...checkBudget(arrivals)];
}

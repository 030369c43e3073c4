import type { Arrival } from './Arrival.js';
import type { FaultInterval } from './FaultInterval.js';
import type { Violation } from './Violation.js';

/** Zone of the home region of the route `bound`. */
const HOME_ZONE = 'south-a';
/** Zone that operators evacuate, and the time in which it must be empty: `evacuation_ms` of sites. */
const EVACUATED_ZONE = 'north-a';
const EVACUATION_MS = 5_000;
/** Repeats that are allowed in a window: `budget_ratio`, `budget_slack`, `budget_window_s`. */
const REPEAT_RATIO = 0.2;
const REPEAT_SLACK = 52;
const REPEAT_WINDOW_MS = 10_000;

export interface ArrivalEvidence {
  readonly arrivals: readonly Arrival[];
  readonly faultIntervals: readonly FaultInterval[];
}

function checkHomes(arrivals: readonly Arrival[]): Violation[] {
  return arrivals
    .filter(({ target, zone }) => target.startsWith('/bound/') && zone !== HOME_ZONE)
    .map(({ attemptId, zone }) => ({ promise: 'home', detail: `${attemptId} ran in ${zone}` }));
}

/** Hosts that cannot reach the store may be late; the bound holds for the others. */
function checkEvacuations({
  arrivals,
  faultIntervals: disturbances,
}: ArrivalEvidence): Violation[] {
  const ofStore = disturbances.filter(({ what }) => what.startsWith('store-'));
  return disturbances
    .filter(({ what }) => what === 'evacuation')
    .flatMap(({ fromMs, endedAtMs }) =>
      arrivals
        .filter(
          ({ zone, atMs }) =>
            zone === EVACUATED_ZONE &&
            atMs > fromMs + EVACUATION_MS &&
            atMs < endedAtMs &&
            !ofStore.some((fault) => fault.fromMs <= atMs && fault.toMs >= fromMs),
        )
        .map(({ attemptId, atMs }) => ({
          promise: 'evacuation' as const,
          detail: `${attemptId} ran ${Math.round(atMs - fromMs)} ms after the evacuation`,
        })),
    );
}

function checkBudget(arrivals: readonly Arrival[]): Violation[] {
  const ordered = [...arrivals].sort((a, b) => a.atMs - b.atMs);
  const known = new Set<string>();
  const events = ordered.map(({ attemptId, atMs }) => {
    const isRepeat = known.has(attemptId);
    known.add(attemptId);
    return { atMs, isRepeat };
  });
  const exceeded = events.find(({ atMs }) => {
    const window = events.filter(
      (event) => event.atMs <= atMs && event.atMs > atMs - REPEAT_WINDOW_MS,
    );
    const repeats = window.filter(({ isRepeat }) => isRepeat).length;
    return repeats > REPEAT_SLACK + REPEAT_RATIO * (window.length - repeats);
  });
  return exceeded === undefined
    ? []
    : [
        {
          promise: 'budget',
          detail: `too many repeats in the window that ends at ${exceeded.atMs}`,
        },
      ];
}

/** Checks where and when servers were sent requests. */
export function checkArrivals(evidence: ArrivalEvidence): Violation[] {
  const { arrivals } = evidence;
  return [...checkHomes(arrivals), ...checkEvacuations(evidence), ...checkBudget(arrivals)];
}

import type { Arrival } from './Arrival.js';
import type { CallKind, CallRecord } from './CallRecord.js';
import type { FaultInterval } from './FaultInterval.js';
import type { Violation } from './Violation.js';

/** Maximum number of servers that may execute a request: `attempts` of the routes. */
const MAX_RUNS: Readonly<Record<CallKind, number>> = {
  safe: 2,
  bound: 2,
  customer: 2,
  unsafe: 1,
  stream: 1,
  resumable: 2,
};
/** Status codes which guarantee that no server has executed the request. */
const NOT_EXECUTED_STATUSES: ReadonlySet<number | undefined> = new Set([
  408, 413, 421, 429, 431, 503,
]);
/** Timeout of the routes. */
const ROUTE_TIMEOUT_MS = 1_500;
/** Time after the timeout until the error response must arrive; the platform's limit. */
const TIMEOUT_RESPONSE_MS = 800;
/** Number of events in a complete stream of the fake server. */
const STREAM_EVENTS = 5;
/** A host has read every request that was sent at least this long before its stop begins. */
const REQUEST_READ_MS = 200;

/** Time after which no request of a caller that has left may arrive at a server. */
const GONE_MS = 500;
/** Requests of callers that have left which may arrive later in a run: "a few". */
const MAX_GONE_ARRIVALS = 3;

export interface CallEvidence {
  readonly calls: readonly CallRecord[];
  readonly arrivals: readonly Arrival[];
  readonly faultIntervals: readonly FaultInterval[];
}

const overlaps = (
  call: CallRecord,
  { host, startedAtMs, effectsEndAtMs }: FaultInterval,
): boolean =>
  (host === undefined || host === call.host) &&
  call.startedAtMs <= effectsEndAtMs &&
  call.endedAtMs >= startedAtMs;

function checkEvents({ kind, eventIds, complete, status, attemptId }: CallRecord): Violation[] {
  if (kind !== 'stream' && kind !== 'resumable') {
    return [];
  }
  const isInOrder = eventIds.every((id, index) => id === index + 1);
  const hasAllEvents = !complete || status !== 200 || eventIds.length === STREAM_EVENTS;
  return isInOrder && hasAllEvents
    ? []
    : [{ promise: 'order', detail: `${attemptId}: events ${eventIds.join(',')}` }];
}

/**
 * A request may be on a disturbed link to a server when its caller leaves. Only the first arrival
 * counts: a peer does not learn from a paused host that the caller has left, and may retry.
 */
function checkGone({ calls, arrivals, faultIntervals }: CallEvidence): Violation[] {
  const firstArrivals = new Map<string, number>();
  arrivals.forEach(({ attemptId, atMs }) =>
    firstArrivals.set(attemptId, Math.min(atMs, firstArrivals.get(attemptId) ?? Infinity)),
  );
  const late = calls.filter(({ left, attemptId, startedAtMs, endedAtMs }) => {
    const atMs = firstArrivals.get(attemptId) ?? -Infinity;
    const isHeldUp = faultIntervals.some(
      (fault) =>
        fault.kind.startsWith('server-link-') &&
        fault.startedAtMs <= atMs &&
        fault.effectsEndAtMs >= startedAtMs,
    );
    return left && atMs > endedAtMs + GONE_MS && !isHeldUp;
  });
  return late.length <= MAX_GONE_ARRIVALS
    ? []
    : [
        {
          promise: 'gone',
          detail: `sent after their callers had left: ${late.map(({ attemptId }) => attemptId).join(', ')}`,
        },
      ];
}

/** Compares the results that callers observed with the requests that servers executed. */
export function checkCalls(evidence: CallEvidence): Violation[] {
  const { calls, arrivals, faultIntervals } = evidence;
  const runCounts = new Map<string, number>();
  arrivals.forEach(({ attemptId: id }) => runCounts.set(id, (runCounts.get(id) ?? 0) + 1));

  const violations = calls.flatMap((call) => {
    const { attemptId, kind, status, complete, startedAtMs, endedAtMs } = call;
    const runCount = runCounts.get(attemptId) ?? 0;
    const label = `${attemptId} (${kind}, host ${call.host}, status ${String(status)})`;
    const callViolations: Violation[] = [];
    if (runCount > MAX_RUNS[kind]) {
      callViolations.push({ promise: 'twice', detail: `${label} ran ${runCount} times` });
    }
    if (NOT_EXECUTED_STATUSES.has(status) && runCount > 0) {
      callViolations.push({ promise: 'refused', detail: `${label} ran ${runCount} times` });
    }
    if (status === 200 && complete && call.responseAttemptId !== attemptId) {
      callViolations.push({
        promise: 'mixed',
        detail: `${label} received the response to ${String(call.responseAttemptId)}`,
      });
    }
    const overlapping = faultIntervals.filter((interval) => overlaps(call, interval));
    const tookMs = endedAtMs - startedAtMs;
    if (
      tookMs > ROUTE_TIMEOUT_MS + TIMEOUT_RESPONSE_MS &&
      overlapping.every(({ host }) => host === undefined)
    ) {
      callViolations.push({ promise: 'late', detail: `${label} took ${Math.round(tookMs)} ms` });
    }
    const [onlyFault] = overlapping;
    if (
      overlapping.length === 1 &&
      onlyFault?.kind === 'host-stop' &&
      startedAtMs < onlyFault.startedAtMs - REQUEST_READ_MS &&
      !complete &&
      !call.left
    ) {
      callViolations.push({
        promise: 'lost',
        detail: `${label} was interrupted by a planned stop`,
      });
    }
    return [...callViolations, ...checkEvents(call)];
  });
  return [...violations, ...checkGone(evidence)];
}

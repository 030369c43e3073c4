import type { Arrival } from './Arrival.js';
import type { CallKind, CallRecord } from './CallRecord.js';
import type { FaultInterval } from './FaultInterval.js';
import type { Violation } from './Violation.js';

/** Maximum number of servers that may execute a request: `attempts` of the routes. */
const MAX_RUNS: Readonly<Record<CallKind, number>> = {
  safe: 2,
  bound: 2,
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

/** Compares the results that callers observed with the requests that servers executed. */
export function checkCalls({ calls, arrivals, faultIntervals }: CallEvidence): Violation[] {
  const runCounts = new Map<string, number>();
  arrivals.forEach(({ attemptId: id }) => runCounts.set(id, (runCounts.get(id) ?? 0) + 1));

  return calls.flatMap((call) => {
    const { attemptId, kind, status, complete, startedAtMs, endedAtMs } = call;
    const runCount = runCounts.get(attemptId) ?? 0;
    const label = `${attemptId} (${kind}, host ${call.host}, status ${String(status)})`;
    const violations: Violation[] = [];
    if (runCount > MAX_RUNS[kind]) {
      violations.push({ promise: 'twice', detail: `${label} ran ${runCount} times` });
    }
    if (NOT_EXECUTED_STATUSES.has(status) && runCount > 0) {
      violations.push({ promise: 'refused', detail: `${label} ran ${runCount} times` });
    }
    if (status === 200 && complete && call.responseAttemptId !== attemptId) {
      violations.push({
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
      violations.push({ promise: 'late', detail: `${label} took ${Math.round(tookMs)} ms` });
    }
    const [onlyFault] = overlapping;
    if (
      overlapping.length === 1 &&
      onlyFault?.kind === 'host-stop' &&
      startedAtMs < onlyFault.startedAtMs - REQUEST_READ_MS &&
      !complete
    ) {
      violations.push({ promise: 'lost', detail: `${label} was interrupted by a planned stop` });
    }
    return [...violations, ...checkEvents(call)];
  });
}

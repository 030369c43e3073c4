import type { Arrival } from './Arrival.js';
import type { CallKind, CallRecord } from './CallRecord.js';
import type { FaultInterval } from './FaultInterval.js';
import type { Violation } from './Violation.js';

/** Servers that may run one attempt: `attempts` of the routes. */
const MOST_RUNS: Readonly<Record<CallKind, number>> = {
  safe: 2,
  bound: 2,
  unsafe: 1,
  stream: 1,
  resumable: 2,
};
/** Status codes that promise that nothing has run. */
const NOT_RUN: ReadonlySet<number | undefined> = new Set([408, 413, 421, 429, 431, 503]);
/** Time-out of the routes. */
const ROUTE_TIMEOUT_MS = 1_500;
/** Time in which a request that is given up gets its answer; the platform's bound on passing it. */
const PASS_MS = 800;
/** Events of the stand-in's streams. */
const STREAM_EVENTS = 5;
/** A request that was sent this long before a stop has been read when the stop begins. */
const READ_MS = 200;

export interface CallEvidence {
  readonly calls: readonly CallRecord[];
  readonly arrivals: readonly Arrival[];
  readonly faultIntervals: readonly FaultInterval[];
}

const overlaps = (call: CallRecord, { host, fromMs, toMs }: FaultInterval): boolean =>
  (host === undefined || host === call.host) &&
  call.startedAtMs <= toMs &&
  call.endedAtMs >= fromMs;

function checkEvents({ kind, eventIds, complete, status, attemptId }: CallRecord): Violation[] {
  if (kind !== 'stream' && kind !== 'resumable') {
    return [];
  }
  const isInOrder = eventIds.every((id, index) => id === index + 1);
  const isWhole = !complete || status !== 200 || eventIds.length === STREAM_EVENTS;
  return isInOrder && isWhole
    ? []
    : [{ promise: 'order', detail: `${attemptId}: events ${eventIds.join(',')}` }];
}

/** Holds what callers saw against what servers ran. */
export function checkCalls({
  calls,
  arrivals,
  faultIntervals: disturbances,
}: CallEvidence): Violation[] {
  const runCounts = new Map<string, number>();
  arrivals.forEach(({ attemptId: id }) => runCounts.set(id, (runCounts.get(id) ?? 0) + 1));

  return calls.flatMap((call) => {
    const { attemptId, kind, status, complete, startedAtMs, endedAtMs } = call;
    const runCount = runCounts.get(attemptId) ?? 0;
    const told = `${attemptId} (${kind}, host ${call.host}, status ${String(status)})`;
    const violations: Violation[] = [];
    if (runCount > MOST_RUNS[kind]) {
      violations.push({ promise: 'twice', detail: `${told} ran ${runCount} times` });
    }
    if (NOT_RUN.has(status) && runCount > 0) {
      violations.push({ promise: 'refused', detail: `${told} ran ${runCount} times` });
    }
    if (status === 200 && complete && call.responseAttemptId !== attemptId) {
      violations.push({
        promise: 'mixed',
        detail: `${told} got the answer of ${String(call.responseAttemptId)}`,
      });
    }
    const met = disturbances.filter((disturbance) => overlaps(call, disturbance));
    const tookMs = endedAtMs - startedAtMs;
    if (tookMs > ROUTE_TIMEOUT_MS + PASS_MS && met.every(({ host }) => host === undefined)) {
      violations.push({ promise: 'late', detail: `${told} took ${Math.round(tookMs)} ms` });
    }
    const [only] = met;
    if (
      met.length === 1 &&
      only?.what === 'host-stop' &&
      startedAtMs < only.fromMs - READ_MS &&
      !complete
    ) {
      violations.push({ promise: 'lost', detail: `${told} was cut by a planned stop` });
    }
    return [...violations, ...checkEvents(call)];
  });
}

import type { CallRecord } from './CallRecord.js';
import type { FaultInterval } from './FaultInterval.js';
import type { Violation } from './Violation.js';

/** Time that a host has to learn that it reaches no server: the platform's `contact_ms`. */
const CONTACT_MS = 6_000;
/** Share of the others' served share that callers of a stranded host must get. */
const MIN_SERVED_RATIO = 2 / 3;
/** Calls that may fail at stranded hosts: a fixed number and a part of all calls. */
const FAILURE_SLACK = 10;
const FAILURE_RATIO = 1 / 50;

export interface StrandedEvidence {
  readonly calls: readonly CallRecord[];
  readonly faultIntervals: readonly FaultInterval[];
}

const isStranding = ({ kind }: FaultInterval): boolean => kind.startsWith('stranded-');

const isServed = ({ status, complete }: CallRecord): boolean => status === 200 && complete;

const servedRatio = (calls: readonly CallRecord[]): number =>
  calls.filter(isServed).length / Math.max(1, calls.length);

/**
 * Compares what callers of hosts that reach no server got with what callers of the other hosts got,
 * from `contact_ms` after the links failed. Calls beside another fault of their own host do not count.
 */
export function checkStranded({ calls, faultIntervals }: StrandedEvidence): Violation[] {
  const strandings = faultIntervals.filter(isStranding);
  const isDisturbed = (call: CallRecord): boolean =>
    faultIntervals.some(
      (interval) =>
        !isStranding(interval) &&
        interval.host === call.host &&
        call.endedAtMs >= interval.startedAtMs &&
        call.startedAtMs <= interval.effectsEndAtMs,
    );
  const isStranded = (call: CallRecord): boolean =>
    strandings.some(
      ({ host, startedAtMs, endedAtMs }) =>
        host === call.host && call.startedAtMs < endedAtMs && call.endedAtMs > startedAtMs,
    );

  return strandings.flatMap(({ kind, host, startedAtMs, endedAtMs }) => {
    const counted = calls.filter(
      (call) =>
        !call.left &&
        call.startedAtMs >= startedAtMs + CONTACT_MS &&
        call.endedAtMs <= endedAtMs &&
        !isDisturbed(call),
    );
    const own = counted.filter((call) => call.host === host);
    const others = counted.filter((call) => !isStranded(call));
    const failures = own.filter((call) => !isServed(call)).length;
    const isWorse = servedRatio(own) < servedRatio(others) * MIN_SERVED_RATIO;
    const maxFailures = FAILURE_SLACK + FAILURE_RATIO * counted.length;
    return isWorse && failures > maxFailures
      ? [
          {
            promise: 'stranded' as const,
            detail: `${kind} at host ${host}: ${own.length - failures} of ${own.length} served, at others ${others.filter(isServed).length} of ${others.length}`,
          },
        ]
      : [];
  });
}

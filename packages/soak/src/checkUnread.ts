import type { ConnectionCall } from './ConnectionCall.js';
import type { FaultInterval } from './FaultInterval.js';
import type { IdleTimeoutChange } from './IdleTimeoutChange.js';
import { lowestIdleTimeoutMs } from './lowestIdleTimeoutMs.js';
import { USED_LIMIT_RATIO } from './runIdleCaller.js';
import type { Violation } from './Violation.js';

export interface UnreadEvidence {
  readonly calls: readonly ConnectionCall[];
  readonly idleTimeouts: readonly IdleTimeoutChange[];
  readonly headerTimeoutMs: number;
  readonly faultIntervals: readonly FaultInterval[];
}

/** Requests whose connection was not idle, and whose parts did not take, longer than allowed. */
export function findPunctualCalls(evidence: UnreadEvidence): readonly ConnectionCall[] {
  const { calls, idleTimeouts, headerTimeoutMs } = evidence;
  return calls.filter(({ host, startedAtMs, idleMs, reused, headMs, bodyMs }) => {
    const firstByteAtMs = startedAtMs - headMs - bodyMs;
    const faultIntervals = evidence.faultIntervals.filter(
      (fault) => fault.host === undefined || fault.host === host,
    );
    const limitMs = (untilMs: number): number =>
      USED_LIMIT_RATIO *
      lowestIdleTimeoutMs(idleTimeouts, { fromMs: firstByteAtMs, untilMs, faultIntervals });
    return (
      (!reused || idleMs <= limitMs(firstByteAtMs)) &&
      headMs <= USED_LIMIT_RATIO * headerTimeoutMs &&
      bodyMs <= limitMs(startedAtMs)
    );
  });
}

/**
 * Checks that hosts read what arrives in time. A host that was paused must read it afterwards; only
 * a host that was stopped or killed may leave a request without a response.
 */
export function checkUnread(evidence: UnreadEvidence): Violation[] {
  const endsOfHosts = evidence.faultIntervals.filter(
    ({ kind }) => kind === 'host-stop' || kind === 'host-kill',
  );
  return findPunctualCalls(evidence).flatMap((call): Violation[] => {
    const { attemptId, host, status, left, startedAtMs, endedAtMs } = call;
    const openSinceMs = startedAtMs - call.headMs - call.bodyMs - call.idleMs;
    const hasEnded = endsOfHosts.some(
      (fault) =>
        fault.host === host && fault.startedAtMs <= endedAtMs && fault.endedAtMs >= openSinceMs,
    );
    const isUnread = status === undefined && !left && !hasEnded;
    const times = [call.idleMs, call.headMs, call.bodyMs, endedAtMs - startedAtMs]
      .map(Math.round)
      .join(', ');
    return isUnread || status === 408
      ? [
          {
            promise: 'unread',
            detail:
              `${attemptId} (${call.reused ? 'kept' : 'new'} connection, host ${host}, status ` +
              `${String(status)}): ${times} ms idle, in the head, in the body and until the end`,
          },
        ]
      : [];
  });
}

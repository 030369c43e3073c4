import type { Arrival, PausingRejection } from './Arrival.js';
import type { CallRecord } from './CallRecord.js';
import type { FaultInterval } from './FaultInterval.js';
import type { Violation } from './Violation.js';

/** Time after the response of a leaving server from which new requests must not go there. */
const DRAIN_MS = 500;
/** Time after a rejection from which its pause must be kept, and the requests allowed in it. */
const REACTION_MS = 500;
const MAX_REQUESTS_IN_PAUSE = 2;
/** Zone of the only host that sends to the servers of its region, and the index of this host. */
const SOUTH = { zone: 'south-a', host: 2 } as const;
/** A host that was stopped, killed or paused need not remember what servers said before. */
const FORGETFUL_KINDS: ReadonlySet<string> = new Set(['host-stop', 'host-kill', 'host-pause']);

export interface NoticeEvidence {
  readonly calls: readonly CallRecord[];
  readonly arrivals: readonly Arrival[];
  readonly pausingRejections: readonly PausingRejection[];
  readonly faultIntervals: readonly FaultInterval[];
}

type Reached = Omit<Arrival, 'target'>;

/**
 * Host that sent the request to the server, which may have been relayed to it. Where the server does not
 * tell, undefined for a request that came to the north from the south: either host may have sent it.
 */
function senderOf({ zone, sender }: Reached, call: CallRecord | undefined): number | undefined {
  if (sender !== undefined) {
    return sender;
  }
  if (zone === SOUTH.zone) {
    return SOUTH.host;
  }
  return call?.host === SOUTH.host ? undefined : call?.host;
}

const overlaps = (fault: FaultInterval, fromMs: number, untilMs: number): boolean =>
  fault.startedAtMs <= untilMs && fault.effectsEndAtMs >= fromMs;

/** Checks that hosts keep to what servers said about leaving and pauses. */
export function checkNotices(evidence: NoticeEvidence): Violation[] {
  const { arrivals, pausingRejections, faultIntervals } = evidence;
  const calls = new Map(evidence.calls.map((call) => [call.attemptId, call]));
  const reached: readonly Reached[] = [...arrivals, ...pausingRejections];
  const pairOf = (request: Reached): string | undefined => {
    const sender = senderOf(request, calls.get(request.attemptId));
    return sender === undefined ? undefined : `host ${sender} and ${request.server}`;
  };
  const hasForgotten = (request: Reached, sinceMs: number): boolean =>
    faultIntervals.some(
      (fault) =>
        FORGETFUL_KINDS.has(fault.kind) &&
        fault.host === senderOf(request, calls.get(request.attemptId)) &&
        overlaps(fault, sinceMs, request.atMs),
    );

  /** Time at which a host had first passed on that the server leaves, by host and server. */
  const passedOnAtMs = new Map<string, number>();
  arrivals.forEach((arrival) => {
    const call = calls.get(arrival.attemptId);
    const pair = pairOf(arrival);
    if (call?.leavingServer === arrival.server && call.complete && pair !== undefined) {
      passedOnAtMs.set(pair, Math.min(call.endedAtMs, passedOnAtMs.get(pair) ?? Infinity));
    }
  });
  const drainViolations = reached.flatMap((request): Violation[] => {
    const call = calls.get(request.attemptId);
    const pair = pairOf(request);
    const sinceMs = pair === undefined ? undefined : passedOnAtMs.get(pair);
    if (
      call === undefined ||
      sinceMs === undefined ||
      call.startedAtMs <= sinceMs + DRAIN_MS ||
      hasForgotten(request, sinceMs)
    ) {
      return [];
    }
    const detail = `${call.attemptId}: ${pair}, ${Math.round(call.startedAtMs - sinceMs)} ms later`;
    return [{ promise: 'drain', detail }];
  });

  const pauseViolations = pausingRejections.flatMap((rejection): Violation[] => {
    const pair = pairOf(rejection);
    const startMs = rejection.atMs + REACTION_MS;
    const endMs = rejection.atMs + rejection.retryAfterMs;
    // A host that is cut off from its servers may not have received the rejection.
    const isCut = faultIntervals.some(
      (fault) =>
        fault.kind.startsWith('server-link-') && overlaps(fault, rejection.atMs, rejection.atMs),
    );
    const inPause = reached.filter(
      (request) =>
        request.atMs > startMs &&
        request.atMs < endMs &&
        pairOf(request) === pair &&
        !hasForgotten(request, rejection.atMs),
    );
    return pair === undefined || isCut || inPause.length <= MAX_REQUESTS_IN_PAUSE
      ? []
      : [{ promise: 'pause', detail: `${inPause.length} requests in a pause of ${pair}` }];
  });
  return [...drainViolations, ...pauseViolations];
}

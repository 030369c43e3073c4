import type { FaultInterval } from './FaultInterval.js';
import type { ServingTime } from './ServingTime.js';
import type { StreamRecord, StreamTry } from './StreamRecord.js';
import type { Violation } from './Violation.js';

/** Returns from which the share that goes on is checked. */
const MIN_RETURNS = 12;
/** Least share of returns that go on, as a part of the share of new streams that begin. */
const MIN_RESUMED_RATIO = 0.5;
/** Servers of a stream's version that must serve during a return. */
const MIN_SERVERS = 2;
/** Zone that the fault `evacuation` evacuates. */
const EVACUATED_ZONE = 'north-a';

export interface StreamEvidence {
  readonly streams: readonly StreamRecord[];
  /** Events of a complete stream. */
  readonly eventCount: number;
  readonly servingTimes: readonly ServingTime[];
  readonly faultIntervals: readonly FaultInterval[];
}

/** Describes each try with its asked id and the writers of its events. */
function describe(stream: StreamRecord): string {
  return stream
    .map(({ attemptId, host, earlierHost, lastEventId, status, complete, events }) => {
      const written = events.map(({ id, server, version }) => `${id} ${server}@${version}`);
      const at = `${attemptId} at host ${host}${earlierHost ? ' (earlier version)' : ''}`;
      const end = complete ? 'complete' : 'broken';
      return `${at} after ${lastEventId}: ${String(status)} ${end} [${written.join(', ')}]`;
    })
    .join('; ');
}

function buildViolation(promise: 'sequence' | 'joined', stream: StreamRecord): Violation {
  const hasEarlierHost = stream.some(({ earlierHost }) => earlierHost);
  return { promise, detail: describe(stream), ...(hasEarlierHost ? { hasEarlierHost } : {}) };
}

function checkSequence(stream: StreamRecord, eventCount: number): Violation[] {
  const ids = stream.flatMap(({ events }) => events.map(({ id }) => id));
  const isInOrder = ids.every((id, index) => id === index + 1);
  const hasEnded = stream.some(({ status, complete }) => status === 200 && complete);
  return isInOrder && (!hasEnded || ids.length === eventCount)
    ? []
    : [buildViolation('sequence', stream)];
}

function checkVersions(stream: StreamRecord): Violation[] {
  const versions = new Set(stream.flatMap(({ events }) => events.map(({ version }) => version)));
  return versions.size <= 1 ? [] : [buildViolation('joined', stream)];
}

function checkReturns(evidence: StreamEvidence): Violation[] {
  const { streams, servingTimes, faultIntervals } = evidence;
  const evacuations = faultIntervals.filter(({ kind }) => kind === 'evacuation');

  function hasServers(version: string | undefined, made: StreamTry): boolean {
    const { service, startedAtMs, endedAtMs } = made;
    const isEvacuated = evacuations.some(
      (fault) => fault.startedAtMs <= endedAtMs && fault.effectsEndAtMs >= startedAtMs,
    );
    const servers = servingTimes.filter(
      (time) =>
        time.service === service &&
        time.version === version &&
        time.fromMs <= startedAtMs &&
        time.untilMs >= endedAtMs &&
        !(isEvacuated && time.zone === EVACUATED_ZONE),
    );
    return servers.length >= MIN_SERVERS;
  }

  // A caller that has left before the first event shows nothing.
  const tries = streams.flatMap((stream) => {
    const version = stream.find(({ events }) => events.length > 0)?.events[0]?.version;
    return stream
      .filter(({ left, events }) => !left || events.length > 0)
      .map((made) => ({ made, version }));
  });
  const begins = tries.filter(({ made }) => made.resumes === undefined);
  const returns = tries.filter(
    ({ made, version }) => made.resumes !== undefined && hasServers(version, made),
  );
  const shareOf = (list: typeof tries): number =>
    list.filter(({ made }) => made.events.length > 0).length / list.length;
  return returns.length < MIN_RETURNS || shareOf(returns) >= MIN_RESUMED_RATIO * shareOf(begins)
    ? []
    : [
        {
          promise: 'resumed',
          detail: `${shareOf(returns).toFixed(2)} of ${returns.length} returns went on, ${shareOf(begins).toFixed(2)} of ${begins.length} new streams began`,
        },
      ];
}

/**
 * Checks what callers received over all their tries for a stream: every event once and in order, of
 * servers of one version, all of them at its proper end; and that streams go on.
 */
export function checkStreams(evidence: StreamEvidence): Violation[] {
  return [
    ...evidence.streams.flatMap((stream) => [
      ...checkSequence(stream, evidence.eventCount),
      ...checkVersions(stream),
    ]),
    ...checkReturns(evidence),
  ];
}

import type { Clock } from '@camphorbarrow/core';
import type { AttemptId } from '../model/AttemptId.js';
import type { ServiceName } from '../model/ServiceName.js';
import type { SoftwareVersion } from '../model/SoftwareVersion.js';
import { STREAM_RETENTION_MS } from './streamRetention.js';
import type { VersionClaim } from './VersionClaim.js';

/** Maximum number of streams whose version is remembered; the oldest are dropped first. */
const MAX_RECORDS = 50_000;

/** Version of the servers that may write a stream. */
export interface StreamRecord {
  /** Attempt of the caller that brought the first event. */
  readonly stream: AttemptId;
  readonly service: ServiceName;
  readonly version: SoftwareVersion;
  /** Undefined if the version is certain. */
  readonly claim?: VersionClaim | undefined;
  /** Whether other hosts have been sent the record. */
  readonly isShared?: boolean | undefined;
}

/** Remembers by which software version streams were begun, for as long as they may go on. */
export interface StreamRecords {
  record(record: StreamRecord, ageMs?: number): void;
  get(stream: AttemptId): StreamRecord | undefined;
  /** Records for which the function returns true, with their age in ms, in nearly the order of it. */
  select(isWanted: (record: StreamRecord) => boolean): readonly (readonly [StreamRecord, number])[];
}

/** Creates an empty memory of streams. */
export function createStreamRecords(clock: Clock, maxRecords = MAX_RECORDS): StreamRecords {
  const records = new Map<AttemptId, { readonly record: StreamRecord; readonly atMs: number }>();

  const isRecent = (atMs: number): boolean => clock.monotonicMs() - atMs <= STREAM_RETENTION_MS;

  /** Records arrive nearly in the order of their age, so the first ones are the oldest. */
  function dropOldest(): void {
    for (const [stream, { atMs }] of records) {
      if (records.size <= maxRecords && isRecent(atMs)) {
        return;
      }
      records.delete(stream);
    }
  }

  return {
    record(record, ageMs = 0) {
      records.delete(record.stream);
      records.set(record.stream, { record, atMs: clock.monotonicMs() - ageMs });
      dropOldest();
    },
    get(stream) {
      const known = records.get(stream);
      return known !== undefined && isRecent(known.atMs) ? known.record : undefined;
    },
    select: (isWanted) =>
      [...records.values()]
        .filter(({ record, atMs }) => isRecent(atMs) && isWanted(record))
        .map(({ record, atMs }) => [record, clock.monotonicMs() - atMs] as const),
  };
}

import type { Clock } from '@camphorbarrow/core';
import type { Endpoint } from '../model/Endpoint.js';
import type { HostRegistration } from '../model/HostRegistration.js';
import type { StreamRecord } from './createStreamRecords.js';
import { encodeRecords } from './streamMessages.js';
import { STREAM_RETENTION_MS } from './streamRetention.js';

/** Records that are grouped by host before they are sent together. */
const GROUP_RECORDS = 60;
/** Groups of records whose hosts are selected at a time. */
const MAX_GROUPS = 10;
/** Datagrams that are sent at a time, so that the receivers' buffers do not overflow. */
const MAX_DATAGRAMS = 40;

/** Records that were not sent when their streams began. */
export interface RecordBacklog {
  /**
   * Adds records and their age in ms; the first ones are sent first. Those that get older than
   * `STREAM_RETENTION_MS` meanwhile are dropped.
   */
  add(
    entries: readonly (readonly [StreamRecord, number])[],
    holdersOf: (record: StreamRecord) => readonly HostRegistration[],
  ): void;
  isEmpty(): boolean;
  /** Takes the next datagrams to send. */
  take(): readonly (readonly [Buffer, Endpoint])[];
}

interface PendingRecords {
  readonly addedAtMs: number;
  readonly entries: (readonly [StreamRecord, number])[];
  readonly holdersOf: (record: StreamRecord) => readonly HostRegistration[];
}

/** Creates an empty backlog. */
export function createRecordBacklog(clock: Clock): RecordBacklog {
  const datagrams: (readonly [Buffer, Endpoint])[] = [];
  /** Records whose hosts are not selected yet: in a large fleet, the selection for all takes long. */
  const pending: PendingRecords[] = [];

  function groupNext({ addedAtMs, entries, holdersOf }: PendingRecords): void {
    const waitedMs = clock.monotonicMs() - addedAtMs;
    const byHost = new Map<HostRegistration, (readonly [StreamRecord, number])[]>();
    entries
      .splice(0, GROUP_RECORDS)
      .map(([record, ageMs]) => [record, ageMs + waitedMs] as const)
      .filter(([, ageMs]) => ageMs <= STREAM_RETENTION_MS)
      .forEach((entry) =>
        holdersOf(entry[0]).forEach((host) => {
          byHost.set(host, [...(byHost.get(host) ?? []), entry]);
        }),
      );
    byHost.forEach((records, { peers }) =>
      datagrams.push(
        ...encodeRecords(records, clock.monotonicMs()).map(
          (datagram) => [datagram, peers] as const,
        ),
      ),
    );
    if (entries.length === 0) {
      pending.shift();
    }
  }

  return {
    add(entries, holdersOf) {
      pending.push({ addedAtMs: clock.monotonicMs(), entries: [...entries], holdersOf });
    },
    isEmpty: () => pending.length === 0 && datagrams.length === 0,
    take() {
      for (let groups = 0; groups < MAX_GROUPS && datagrams.length < MAX_DATAGRAMS; groups += 1) {
        const [next] = pending;
        if (next !== undefined) {
          groupNext(next);
        }
      }
      return datagrams.splice(0, MAX_DATAGRAMS);
    },
  };
}

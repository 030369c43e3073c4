import type { Endpoint } from '../model/Endpoint.js';
import type { HostRegistration } from '../model/HostRegistration.js';
import type { StreamRecord } from './createStreamRecords.js';
import { encodeRecords } from './streamMessages.js';

/** Records that are grouped by host before they are sent together. */
const GROUP_RECORDS = 60;
/** Datagrams that are sent at a time, so that the receivers' buffers do not overflow. */
const MAX_DATAGRAMS = 40;

/** Records that were not sent when their streams began. */
export interface RecordBacklog {
  /** Adds records and their age in ms; the first ones are sent first. */
  add(
    entries: readonly (readonly [StreamRecord, number])[],
    holdersOf: (record: StreamRecord) => readonly HostRegistration[],
  ): void;
  /** Takes the next datagrams to send. */
  take(): readonly (readonly [Buffer, Endpoint])[];
}

/** Creates an empty backlog. */
export function createRecordBacklog(): RecordBacklog {
  const datagrams: (readonly [Buffer, Endpoint])[] = [];
  return {
    add(entries, holdersOf) {
      for (let start = 0; start < entries.length; start += GROUP_RECORDS) {
        const byHost = new Map<HostRegistration, (readonly [StreamRecord, number])[]>();
        entries.slice(start, start + GROUP_RECORDS).forEach((entry) =>
          holdersOf(entry[0]).forEach((host) => {
            byHost.set(host, [...(byHost.get(host) ?? []), entry]);
          }),
        );
        byHost.forEach((records, { peers }) =>
          datagrams.push(...encodeRecords(records).map((datagram) => [datagram, peers] as const)),
        );
      }
    },
    take: () => datagrams.splice(0, MAX_DATAGRAMS),
  };
}

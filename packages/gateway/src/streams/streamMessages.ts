import { asId } from '@camphorbarrow/core';
import type { HostId } from '@camphorbarrow/core';
import { InvalidMessageError } from '../errors/InvalidMessageError.js';
import type { AttemptId } from '../model/AttemptId.js';
import type { ServiceName } from '../model/ServiceName.js';
import type { SoftwareVersion } from '../model/SoftwareVersion.js';
import type { StreamRecord } from './createStreamRecords.js';
import type { VersionClaim } from './VersionClaim.js';

/** First bytes of every message, which tell it from a heartbeat. */
const PREFIX = Buffer.from('{"streams":1,');
/** Maximum size of the records in a datagram, so that it is not fragmented. */
const MAX_RECORDS_BYTES = 1_100;

/** Messages between hosts on the versions of streams. */
export type StreamMessage =
  /** Records and their age in ms. */
  | {
      readonly kind: 'records';
      readonly records: readonly (readonly [StreamRecord, number])[];
    }
  | ({ readonly kind: 'query' } & StreamQuery)
  | ({ readonly kind: 'answer' } & StreamAnswer);

export interface StreamQuery {
  readonly from: HostId;
  /** Undefined to ask only for the single version of the service. */
  readonly stream: AttemptId | undefined;
  readonly service: ServiceName;
}

/** Answer to a query for this stream and service. */
export interface StreamAnswer extends StreamQuery {
  /** Undefined if the sender has none. */
  readonly record: StreamRecord | undefined;
  /** The only version of the queried service that the sender has seen; undefined if not certain. */
  readonly singleVersion: SoftwareVersion | undefined;
  /** Whether the sender has seen several versions; undefined if it does not tell. */
  readonly isMixed?: boolean | undefined;
}

type WireRecord = readonly [stream: string, service: string, version: string, ageMs: number];

/** Record whose version is not certain. Hosts that know no claims take it for malformed. */
type WireClaimedRecord = readonly [
  ...WireRecord,
  server: string,
  startedAtMs: number | null,
  confirmingSequence: number,
  connectedAgeMs: number,
];

const RECORD_LENGTH = 4;
const CLAIMED_RECORD_LENGTH = 8;

function toWire(
  [{ stream, service, version, claim }, ageMs]: readonly [StreamRecord, number],
  nowMs: number,
): WireRecord | WireClaimedRecord {
  const row: WireRecord = [stream, service, version, Math.round(ageMs)];
  if (claim === undefined) {
    return row;
  }
  const connectedAgeMs = Math.max(0, Math.floor(nowMs - claim.connectedAtMs));
  return [
    ...row,
    claim.server,
    claim.startedAtMs ?? null,
    claim.confirmingSequence,
    connectedAgeMs,
  ];
}

const isAge = (value: unknown): boolean => Number.isFinite(value) && Number(value) >= 0;

function isWireRecord(value: unknown): value is WireRecord | WireClaimedRecord {
  if (!Array.isArray(value)) {
    return false;
  }
  const [stream, service, version, ageMs, server, startedAtMs, confirmingSequence, connectedAgeMs] =
    value as unknown[];
  return (
    [stream, service, version].every((text) => typeof text === 'string') &&
    isAge(ageMs) &&
    (value.length === RECORD_LENGTH ||
      (value.length === CLAIMED_RECORD_LENGTH &&
        typeof server === 'string' &&
        (startedAtMs === null || isAge(startedAtMs)) &&
        isAge(confirmingSequence) &&
        isAge(connectedAgeMs)))
  );
}

function fromWire(
  [stream, service, version, ageMs, ...rest]: WireRecord | WireClaimedRecord,
  nowMs: number,
): readonly [StreamRecord, number] {
  const record: StreamRecord = {
    stream: asId<AttemptId>(stream),
    service: asId<ServiceName>(service),
    version: asId<SoftwareVersion>(version),
  };
  const [server, startedAtMs, confirmingSequence, connectedAgeMs] = rest;
  if (server === undefined || confirmingSequence === undefined || connectedAgeMs === undefined) {
    return [record, ageMs];
  }
  const claim: VersionClaim = {
    server: asId(server),
    version: record.version,
    startedAtMs: startedAtMs ?? undefined,
    confirmingSequence,
    connectedAtMs: nowMs - connectedAgeMs,
  };
  return [{ ...record, claim }, ageMs];
}

const toDatagram = (fields: object): Buffer =>
  Buffer.from(`${PREFIX.toString()}${JSON.stringify(fields).slice(1)}`);

/**
 * Encodes records into as many datagrams as their size requires.
 *
 * @param nowMs monotonic time of this host
 */
export function encodeRecords(
  records: readonly (readonly [StreamRecord, number])[],
  nowMs: number,
): readonly Buffer[] {
  const batches: (WireRecord | WireClaimedRecord)[][] = [];
  let batchBytes = Infinity;
  records.forEach((entry) => {
    const row = toWire(entry, nowMs);
    const rowBytes = JSON.stringify(row).length;
    if (batchBytes + rowBytes > MAX_RECORDS_BYTES) {
      batches.push([]);
      batchBytes = 0;
    }
    batches.at(-1)?.push(row);
    batchBytes += rowBytes;
  });
  return batches.map((rows) => toDatagram({ records: rows }));
}

export const encodeQuery = ({ from, stream, service }: StreamQuery): Buffer =>
  toDatagram({ query: service, from, stream });

/** @param nowMs monotonic time of this host */
export const encodeAnswer = (
  { record, singleVersion, isMixed, ...query }: StreamAnswer,
  nowMs: number,
): Buffer =>
  toDatagram({
    answer: query.service,
    from: query.from,
    stream: query.stream,
    ...(record === undefined ? {} : { record: toWire([record, 0], nowMs) }),
    ...(singleVersion === undefined ? {} : { single: singleVersion }),
    ...(isMixed === true ? { mixed: true } : {}),
  });

/** Whether a datagram is a message of this kind and not a heartbeat. */
export const isStreamMessage = (datagram: Buffer): boolean =>
  datagram.subarray(0, PREFIX.length).equals(PREFIX);

/**
 * @param nowMs monotonic time of this host
 * @throws InvalidMessageError if the datagram has missing or malformed fields
 */
export function decodeStreamMessage(datagram: Buffer, nowMs: number): StreamMessage {
  let fields: Record<string, unknown>;
  try {
    fields = JSON.parse(datagram.toString()) as Record<string, unknown>;
  } catch (error) {
    throw new InvalidMessageError('The message on streams is not valid JSON.', { cause: error });
  }
  const { records, query, answer, from, stream, record, single, mixed } = fields;
  if (Array.isArray(records)) {
    return {
      kind: 'records',
      records: records.filter(isWireRecord).map((row) => fromWire(row, nowMs)),
    };
  }
  const service = query ?? answer;
  if (
    typeof from === 'string' &&
    typeof service === 'string' &&
    (stream === undefined || typeof stream === 'string')
  ) {
    const fieldsOfQuery: StreamQuery = {
      from: asId(from),
      stream: stream === undefined ? undefined : asId<AttemptId>(stream),
      service: asId(service),
    };
    return query === undefined
      ? {
          kind: 'answer',
          ...fieldsOfQuery,
          record:
            isWireRecord(record) && record[0] === stream ? fromWire(record, nowMs)[0] : undefined,
          singleVersion: typeof single === 'string' ? asId<SoftwareVersion>(single) : undefined,
          isMixed: mixed === true,
        }
      : { kind: 'query', ...fieldsOfQuery };
  }
  throw new InvalidMessageError('The message on streams has missing or malformed fields.');
}

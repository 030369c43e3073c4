import type { HostId, RegionId } from '@camphorbarrow/core';
import type { AttemptId } from '../model/AttemptId.js';
import type { HostRegistration } from '../model/HostRegistration.js';
import type { ServiceName } from '../model/ServiceName.js';
import type { SoftwareVersion } from '../model/SoftwareVersion.js';
import { chooseHolders, chooseRegions } from './chooseHolders.js';
import type { ClaimedRecords } from './createClaimedRecords.js';
import type { ServerClaims } from './createServerClaims.js';
import type { StreamQueries, StreamWitnesses } from './createStreamQueries.js';
import type { StreamRecord } from './createStreamRecords.js';
import type { VersionHistory } from './createVersionHistory.js';
import { hasQuorum } from './isHistoryCurrent.js';
import type { StreamQuery } from './streamMessages.js';

/** Hosts of a region that are asked; one more, because the fleet may have changed since. */
const ASKED_PER_REGION = 3;
/** Longest wait for answers of all regions; covers two round trips between them. */
const QUERY_TIMEOUT_MS = 400;
/** Longest wait for answers of this region, for a stream that very likely has the single version. */
const OWN_REGION_TIMEOUT_MS = 100;

export interface StreamSearchOptions {
  readonly queries: StreamQueries;
  readonly records: Pick<ClaimedRecords, 'keep' | 'find'>;
  readonly claims: Pick<ServerClaims, 'confirm'>;
  readonly history: Pick<VersionHistory, 'isMixed'>;
  /** The version of all streams of the service; undefined if there may be several. */
  readonly singleVersion: (service: ServiceName) => SoftwareVersion | undefined;
  readonly sendQuery: (query: Omit<StreamQuery, 'from'>, host: HostRegistration) => void;
  readonly otherHosts: () => readonly HostRegistration[];
  /** Whether a host has been heard of and is silent now. */
  readonly isUnresponsive: (host: HostId) => boolean;
  readonly ownRegion: RegionId;
}

/**
 * Version at which a stream may go on, and how this host knows it:
 * - `record`: it forwarded the first event, or got the record of the host that did;
 * - `single-version`: the service has had only one version;
 * - `peer`: another host answered.
 */
export type VersionFinding =
  | {
      readonly version: SoftwareVersion;
      readonly source: 'record' | 'single-version' | 'peer';
    }
  | { readonly version: undefined; readonly source: 'unknown' };

interface Inquiry extends Pick<StreamQuery, 'stream' | 'service'> {
  /** The only version that this host has seen; undefined if it is not certain. */
  readonly single: SoftwareVersion | undefined;
}

interface Outcome {
  readonly record: StreamRecord | undefined;
  /** Version that half of the asked hosts have seen, and none another one; undefined if unknown. */
  readonly version: SoftwareVersion | undefined;
  /** Whether any host has said so. */
  readonly hasWitness: boolean;
}

/** Finds what began streams that callers resume. */
export interface StreamSearch {
  /**
   * Finds the service that began a stream; asks other hosts if necessary. Undefined if none knows it.
   *
   * @param service one that may have begun it
   */
  findService(
    stream: AttemptId,
    service: ServiceName,
    signal: AbortSignal,
  ): Promise<ServiceName | undefined>;
  /** Finds the version of a stream that a caller resumes; asks other hosts if necessary. */
  find(
    stream: AttemptId | undefined,
    service: ServiceName,
    signal: AbortSignal,
  ): Promise<VersionFinding>;
}

/** Creates the search of one host in its own records and at other hosts. */
export function createStreamSearch(options: StreamSearchOptions): StreamSearch {
  const { queries, records, claims, history, singleVersion, otherHosts } = options;

  /** Whether records of the stream are kept in this region. */
  const isHeldInOwnRegion = (stream: AttemptId | undefined): boolean =>
    stream !== undefined &&
    chooseRegions(
      stream,
      new Set([options.ownRegion, ...otherHosts().map(({ region }) => region)]),
    ).includes(options.ownRegion);

  const neighbours = (): readonly HostRegistration[] =>
    otherHosts().filter(({ region }) => region === options.ownRegion);

  /** Whether enough hosts have seen only this version; silence is no testimony. */
  const isSupported = (
    version: SoftwareVersion,
    witnesses: StreamWitnesses,
    asked: readonly HostRegistration[],
  ): boolean =>
    [...witnesses.values()].every((seen) => seen === version) &&
    hasQuorum({ registeredPeers: asked.length, alivePeers: witnesses.size });

  /** Holders of the record, of these hosts, that are worth a question. */
  const chooseAsked = (
    key: AttemptId | ServiceName,
    hosts: readonly HostRegistration[],
  ): readonly HostRegistration[] =>
    chooseHolders(key, hosts, ASKED_PER_REGION).filter(({ id }) => !options.isUnresponsive(id));

  /** Asks hosts; ends early, if that is set, once enough of them have seen only one version. */
  async function ask(
    { stream, service, single }: Inquiry,
    hosts: readonly HostRegistration[],
    { timeoutMs, endsEarly = false }: { timeoutMs: number; endsEarly?: boolean },
    signal: AbortSignal,
  ): Promise<Outcome> {
    const asked = chooseAsked(stream ?? service, hosts);
    const findVersion = (witnesses: StreamWitnesses): SoftwareVersion | undefined => {
      const version = single ?? [...witnesses.values()][0];
      return version !== undefined && isSupported(version, witnesses, asked) ? version : undefined;
    };
    const { record, witnesses, isMixed } = await queries.ask(
      {
        stream,
        service,
        hosts: asked,
        timeoutMs,
        send: (host) => options.sendQuery({ stream, service }, host),
        isSufficient: (seen) => endsEarly && findVersion(seen) !== undefined,
      },
      signal,
    );
    // Hosts that have seen a single version count for nothing beside one that has seen several.
    const version = isMixed || history.isMixed(service) ? undefined : findVersion(witnesses);
    return { record, version, hasWitness: witnesses.size > 0 };
  }

  /** Asks the hosts of this region first, if they hold the record and very likely there is none. */
  async function askAll(inquiry: Inquiry, signal: AbortSignal): Promise<Outcome> {
    const { stream, single } = inquiry;
    const isBrief = single !== undefined && isHeldInOwnRegion(stream);
    if (isBrief) {
      const others = neighbours();
      const near = await ask(inquiry, others, { timeoutMs: OWN_REGION_TIMEOUT_MS }, signal);
      // A host alone in its region holds the records itself.
      const isKnown = near.version !== undefined && (near.hasWitness || others.length === 0);
      if (near.record !== undefined || isKnown) {
        return near;
      }
    }
    const limits = { timeoutMs: QUERY_TIMEOUT_MS, endsEarly: isBrief };
    return ask(inquiry, otherHosts(), limits, signal);
  }

  /** Asks for a record without a claim: another host may know that one to be true which is refuted here. */
  async function findCertain(
    { stream, service }: StreamRecord,
    signal: AbortSignal,
  ): Promise<StreamRecord | undefined> {
    const { record } = await queries.ask(
      {
        stream,
        service,
        hosts: chooseAsked(stream, otherHosts()),
        timeoutMs: QUERY_TIMEOUT_MS,
        send: (host) => options.sendQuery({ stream, service }, host),
        isWanted: ({ claim }) => claim === undefined,
      },
      signal,
    );
    return record;
  }

  /** Version of a record; unknown if it is of another service, which can't go on with the stream. */
  async function toFinding(
    record: StreamRecord,
    service: ServiceName,
    source: 'record' | 'peer',
    signal: AbortSignal,
  ): Promise<VersionFinding> {
    const { claim, version } = record;
    if (record.service !== service) {
      return { version: undefined, source: 'unknown' };
    }
    if (claim === undefined || (await claims.confirm(claim, signal))) {
      return { version, source };
    }
    const certain = await findCertain(record, signal);
    return certain?.service === service
      ? { version: certain.version, source: 'peer' }
      : { version: undefined, source: 'unknown' };
  }

  /** Finds the version of a stream that this host has no record of. */
  async function findAtPeers(
    stream: AttemptId | undefined,
    service: ServiceName,
    signal: AbortSignal,
  ): Promise<VersionFinding> {
    const single = singleVersion(service);
    if (stream === undefined && (single !== undefined || history.isMixed(service))) {
      // Only a record tells the version of a stream of a service that is known to have several.
      return single === undefined
        ? { version: undefined, source: 'unknown' }
        : { version: single, source: 'single-version' };
    }
    // A host that knew an entry earlier than this one has recorded the stream by it.
    const { record, version } = await askAll({ stream, service, single }, signal);
    if (record !== undefined) {
      records.keep(record);
      return toFinding(record, service, 'peer', signal);
    }
    if (version === undefined) {
      return { version: undefined, source: 'unknown' };
    }
    return { version, source: singleVersion(service) === version ? 'single-version' : 'peer' };
  }

  return {
    async find(stream, service, signal) {
      const known = stream === undefined ? undefined : records.find(stream);
      return known === undefined
        ? findAtPeers(stream, service, signal)
        : toFinding(known, service, 'record', signal);
    },
    async findService(stream, service, signal) {
      if (records.find(stream) === undefined) {
        const inquiry = { stream, service, single: undefined };
        const limits = { timeoutMs: QUERY_TIMEOUT_MS };
        const { record } = await ask(inquiry, otherHosts(), limits, signal);
        if (record !== undefined) {
          records.keep(record);
        }
      }
      return records.find(stream)?.service;
    },
  };
}

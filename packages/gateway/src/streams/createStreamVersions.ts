import type { Clock, HostId, LogSink, MetricsSink, RegionId } from '@camphorbarrow/core';
import type { FleetView } from '../fleet/createFleetView.js';
import { memoizeLatest } from '../fleet/memoizeLatest.js';
import type { Endpoint } from '../model/Endpoint.js';
import type { HostRegistration } from '../model/HostRegistration.js';
import type { ServiceName } from '../model/ServiceName.js';
import type { SoftwareVersion } from '../model/SoftwareVersion.js';
import type { PeerRegistry } from '../peers/createPeerRegistry.js';
import { chooseGroupedHolders, groupByRegion } from './chooseHolders.js';
import { createClaimedRecords } from './createClaimedRecords.js';
import { createHistoryCheck } from './createHistoryCheck.js';
import { createOtherHosts } from './createOtherHosts.js';
import { createRecordBacklog } from './createRecordBacklog.js';
import type { ServerClaims } from './createServerClaims.js';
import { createStartedHosts } from './createStartedHosts.js';
import { createStreamQueries } from './createStreamQueries.js';
import { createStreamSearch } from './createStreamSearch.js';
import type { StreamSearch } from './createStreamSearch.js';
import type { StreamRecord } from './createStreamRecords.js';
import { createVersionHistory } from './createVersionHistory.js';
import type { VersionReport } from './createVersionHistory.js';
import {
  decodeStreamMessage,
  encodeAnswer,
  encodeQuery,
  encodeRecords,
  isStreamMessage,
} from './streamMessages.js';
import type { StreamQuery } from './streamMessages.js';

/** Hosts of a region that a record is sent to. */
const HOLDERS_PER_REGION = 2;
/** Longest time for which an event waits until its record has been sent. */
const MAX_SEND_WAIT_MS = 20;

/** Sends a datagram to the peer endpoint of a host; resolves when it was handed to the network. */
export type SendDatagram = (datagram: Buffer, endpoint: Endpoint) => Promise<void>;

export interface StreamVersionsOptions {
  readonly clock: Clock;
  readonly log: LogSink;
  readonly metrics: MetricsSink;
  readonly ownId: HostId;
  readonly ownRegion: RegionId;
  readonly claims: Pick<
    ServerClaims,
    'confirm' | 'observe' | 'isConfirmed' | 'isRefuted' | 'accept'
  >;
  readonly view: Pick<
    FleetView,
    'servers' | 'hosts' | 'position' | 'confirmedAtMs' | 'keptVersions'
  >;
  readonly peers: Pick<PeerRegistry, 'alive' | 'known' | 'knownHosts'>;
}

/** Knows by which software version of a service each stream was begun. */
export interface StreamVersions extends StreamSearch {
  /** Whether streams of several versions of the service may exist. */
  isMixed(service: ServiceName): boolean;
  /** The version of all streams of the service; undefined if there may be several. */
  singleVersion(service: ServiceName): SoftwareVersion | undefined;
  /**
   * Records the version of a stream, before its first event is forwarded. While the service has
   * several versions, the event must wait until the result resolves: the record is then on its way to
   * other hosts, which may have to continue the stream if this one is killed.
   *
   * @param isShared whether other hosts need the record in any case
   */
  recordStart(record: StreamRecord, isShared?: boolean): Promise<void> | undefined;
  /** Reads the listed servers, and sends records that other hosts need from now on. */
  update(): void;
  /** Versions of services that have several, for peers. */
  reports(): readonly VersionReport[];
  mergeReports(reports: readonly VersionReport[]): void;
  /** Versions of all services that this host and its peers saw. */
  sightings(): readonly VersionReport[];
  /** Whether this host knows all versions that streams may have, also those that began before it. */
  knowsVersions(): boolean;
  /** Handles a datagram from a peer. Returns false if it is no message on streams. */
  receive(datagram: Buffer): boolean;
  /** Sets how datagrams are sent; none are sent before. */
  useTransport(send: SendDatagram): void;
}

/** Creates the knowledge of one host, which it shares with the others. */
export function createStreamVersions(options: StreamVersionsOptions): StreamVersions {
  const { clock, log, metrics, ownId, claims, view, peers } = options;
  const history = createVersionHistory(clock, view.keptVersions);
  const records = createClaimedRecords(clock, claims);
  const backlog = createRecordBacklog(clock);
  /** Records for hosts that have started, sent after those of the backlog. */
  const refill = createRecordBacklog(clock);
  const otherHosts = createOtherHosts(options);
  const startedHosts = createStartedHosts(peers);
  const { isComplete, isCurrent } = createHistoryCheck(options);
  let send: SendDatagram = async () => undefined;
  /** Services with several versions, whose earlier records were sent. */
  let sharedServices: ReadonlySet<ServiceName> = new Set();

  function sendMessage(
    kind: 'records' | 'query' | 'answer',
    datagram: Buffer,
    { peers: endpoint }: Pick<HostRegistration, 'peers'>,
  ): Promise<void> {
    metrics.increment('stream_messages', { kind });
    return send(datagram, endpoint);
  }

  const hostsByRegion = memoizeLatest(otherHosts, groupByRegion);
  const holdersOf = (
    { stream }: StreamRecord,
    isWanted?: (region: RegionId) => boolean,
  ): readonly HostRegistration[] =>
    chooseGroupedHolders(stream, hostsByRegion(), HOLDERS_PER_REGION, isWanted);

  /** Sends hosts that have started the records that they hold; a diskless host starts without any. */
  function refillStartedHosts(): void {
    startedHosts.update();
    const started = refill.isEmpty() ? startedHosts.take() : new Set();
    if (started.size > 0) {
      const shared = records.select(
        ({ service, isShared }) => isShared === true || history.isMixed(service),
      );
      const regions = memoizeLatest(
        otherHosts,
        (hosts) => new Set(hosts.filter(({ id }) => started.has(id)).map(({ region }) => region)),
      );
      refill.add([...shared].reverse(), (record) =>
        holdersOf(record, (region) => regions().has(region)).filter(({ id }) => started.has(id)),
      );
    }
  }

  const queries = createStreamQueries(clock);

  const recordServers = (): void =>
    history.recordServers(view.servers.all().map(({ registration }) => registration));

  function singleVersion(service: ServiceName): SoftwareVersion | undefined {
    recordServers();
    const versions = history.versionsOf(service);
    return versions.length === 1 && isCurrent() ? versions[0] : undefined;
  }

  function answer({ from, stream, service }: StreamQuery): void {
    const host = otherHosts().find(({ id }) => id === from);
    if (host !== undefined) {
      const datagram = encodeAnswer(
        {
          from: ownId,
          stream,
          service,
          record: stream === undefined ? undefined : records.find(stream),
          singleVersion: singleVersion(service),
          isMixed: history.isMixed(service),
        },
        clock.monotonicMs(),
      );
      void sendMessage('answer', datagram, host);
    }
  }

  function handle(datagram: Buffer): void {
    const message = decodeStreamMessage(datagram, clock.monotonicMs());
    switch (message.kind) {
      case 'records':
        message.records.forEach(([record, ageMs]) => {
          records.keep({ ...record, isShared: true }, ageMs);
          history.record({ ...record, ageMs });
        });
        break;
      case 'query':
        answer(message);
        break;
      case 'answer':
        queries.recordAnswer(message);
        break;
    }
  }

  const isUnresponsive = (id: HostId): boolean =>
    peers.knownHosts().some((host) => host.id === id) &&
    !peers.alive().some(({ heartbeat }) => heartbeat.host.id === id);

  const search = createStreamSearch({
    queries,
    records,
    claims,
    history,
    singleVersion,
    sendQuery(query, host) {
      void sendMessage('query', encodeQuery({ from: ownId, ...query }), host);
    },
    otherHosts,
    isUnresponsive,
    ownRegion: options.ownRegion,
  });

  return {
    isMixed: history.isMixed,
    singleVersion,
    recordStart(record, isShared = false) {
      const { stream, service, version, claim } = record;
      const known = records.find(stream);
      const isSame = known?.version === version && known.service === service;
      const wasClaimed = records.hasClaim(stream);
      const isClaimed = claim !== undefined;
      history.record({ service, version, ageMs: 0 });
      const isNew = !isSame || wasClaimed !== isClaimed;
      const isNeededElsewhere =
        isShared || wasClaimed || isClaimed || history.isMixed(service) || !isComplete();
      records.keep({ ...record, isShared: isNeededElsewhere });
      if (!isNew || !isNeededElsewhere) {
        return undefined;
      }
      const [datagram] = encodeRecords([[record, 0]], clock.monotonicMs());
      if (datagram === undefined) {
        return undefined;
      }
      const sent = holdersOf(record).map((host) => sendMessage('records', datagram, host));
      return Promise.race([Promise.all(sent).then(() => undefined), clock.sleep(MAX_SEND_WAIT_MS)]);
    },
    find: search.find,
    findService: search.findService,
    update() {
      recordServers();
      isComplete();
      const mixed = new Set(history.mixedServices());
      [...mixed]
        .filter((service) => !sharedServices.has(service))
        .forEach((service) =>
          backlog.add(
            [...records.select((record) => record.service === service)].reverse(),
            (record) => holdersOf(record),
          ),
        );
      sharedServices = mixed;
      refillStartedHosts();
      (backlog.isEmpty() ? refill : backlog).take().forEach(([datagram, endpoint]) => {
        void sendMessage('records', datagram, { peers: endpoint });
      });
    },
    reports: history.reports,
    mergeReports: history.merge,
    sightings: history.sightings,
    knowsVersions: isComplete,
    receive(datagram) {
      if (!isStreamMessage(datagram)) {
        return false;
      }
      try {
        handle(datagram);
      } catch (error) {
        log.warn('stream-message-unreadable', { reason: (error as Error).message });
      }
      return true;
    },
    useTransport(transport) {
      send = transport;
    },
  };
}

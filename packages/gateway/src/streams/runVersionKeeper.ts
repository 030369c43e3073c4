import type { Clock, HostId, LeaseId, LogSink, MetricsSink } from '@camphorbarrow/core';
import { LeaseEndedError } from '../errors/LeaseEndedError.js';
import type { FleetView } from '../fleet/createFleetView.js';
import type { KeptVersion } from '../model/KeptVersion.js';
import type { PeerRegistry } from '../peers/createPeerRegistry.js';
import type { MetadataStore } from '../ports/MetadataStore.js';
import { rankByRendezvous } from '../routing/rankByRendezvous.js';
import type { StreamVersions } from './createStreamVersions.js';
import type { VersionReport } from './createVersionHistory.js';
import { STREAM_RETENTION_MS } from './streamRetention.js';

const ROUND_INTERVAL_MS = 250;
/** Interval of lease renewals while servers have the version. */
const RENEWAL_INTERVAL_MS = 20_000;
/** Lease while servers have the version; leaves a minute for renewals that fail, or another writer. */
const SERVED_LEASE_MS = STREAM_RETENTION_MS + 60_000;
/** Added to the rest of the retention of a version that no server has. */
const LEASE_MARGIN_MS = 10_000;
/** Delay of the first host by rank for a version that the store lacks; its servers may have just come. */
const WRITE_DELAY_MS = 500;
/** Delay of the first host by rank for an entry whose writer does not respond. */
const TAKEOVER_DELAY_MS = 10_000;
/**
 * Delay of the second host by rank, if the first does not write. It doubles with each further one: few
 * hosts call a store that is away.
 */
const RANK_DELAY_MS = 2_000;
/** Time within which this host's view of the store shows what it wrote. */
const VIEW_LAG_MS = 5_000;
const MIN_RETRY_PAUSE_MS = 1_000;
const MAX_RETRY_PAUSE_MS = 30_000;

export interface VersionKeeperOptions {
  readonly clock: Clock;
  readonly log: LogSink;
  readonly metrics: MetricsSink;
  readonly store: Pick<MetadataStore, 'grantLease' | 'putLeased' | 'renewLease'>;
  readonly ownId: HostId;
  readonly view: Pick<FleetView, 'keptVersions' | 'position'>;
  readonly peers: Pick<PeerRegistry, 'alive'>;
  readonly streams: Pick<StreamVersions, 'sightings' | 'knowsVersions'>;
  /** Encodes an entry for the store; entries of one version of a service have the same key. */
  readonly encode: (entry: KeptVersion) => { readonly key: string; readonly value: string };
  readonly signal: AbortSignal;
}

interface OwnLease {
  readonly leaseId: LeaseId;
  readonly writtenAtMs: number;
  readonly renewedAtMs: number;
}

/** Since when an entry is missing, or the same one has a writer that does not respond. */
interface Lack {
  readonly writer: HostId | undefined;
  readonly sinceMs: number;
}

const idOf = ({ service, version }: Pick<KeptVersion, 'service' | 'version'>): string =>
  `${service}\n${version}`;

/**
 * Keeps the versions of all services in the store until the signal aborts, so that a fleet which starts
 * anew knows of streams that began before. One host writes the entry of a version and renews its
 * lease; the lease is left to end after the version has gone. A host that does not know the versions
 * from before its start writes none, as its entries would pass for all that there are.
 */
export async function runVersionKeeper(options: VersionKeeperOptions): Promise<void> {
  const { clock, log, metrics, store, ownId, view, peers, streams, signal } = options;
  const leases = new Map<string, OwnLease>();
  const lacks = new Map<string, Lack>();
  /** Leases of writes without a response: such a write may still follow, and must not shorten a later one. */
  const unusedLeases = new Map<string, LeaseId>();

  function rankOf(id: string): number {
    // Hosts of earlier builds write no entries.
    const writers = peers
      .alive()
      .filter(({ heartbeat }) => heartbeat.knowsVersions !== undefined)
      .map(({ heartbeat }) => heartbeat.host.id);
    return rankByRendezvous(id, [ownId, ...writers]).indexOf(ownId);
  }

  const isResponsive = (writer: HostId): boolean =>
    peers.alive().some(({ heartbeat }) => heartbeat.host.id === writer);

  /** Whether this or another host sees to it that the entry lasts for as long as it has to. */
  function isKept(id: string, isServed: boolean, entry: KeptVersion | undefined): boolean {
    const lease = leases.get(id);
    if (lease !== undefined && clock.monotonicMs() - lease.writtenAtMs < VIEW_LAG_MS) {
      return true;
    }
    if (entry === undefined || entry.era < view.position().era) {
      return false;
    }
    const hasWriter = entry.writer === ownId ? lease !== undefined : isResponsive(entry.writer);
    return hasWriter || !isServed;
  }

  /** Whether the entry has been without a writer for so long that it is this host's turn. */
  function isDue(id: string, entry: KeptVersion | undefined): boolean {
    const nowMs = clock.monotonicMs();
    const known = lacks.get(id);
    const lack =
      known !== undefined && known.writer === entry?.writer
        ? known
        : { writer: entry?.writer, sinceMs: nowMs };
    lacks.set(id, lack);
    const isListed = entry !== undefined && entry.era >= view.position().era;
    const delayMs = isListed ? TAKEOVER_DELAY_MS : WRITE_DELAY_MS;
    // Others rely on this host for an entry that it wrote before it started again.
    const rank = entry?.writer === ownId ? 0 : rankOf(id);
    return nowMs - lack.sinceMs >= delayMs + (2 ** rank - 1) * RANK_DELAY_MS;
  }

  async function write(id: string, { service, version, ageMs }: VersionReport): Promise<void> {
    leases.delete(id);
    const leaseMs =
      ageMs <= RENEWAL_INTERVAL_MS
        ? SERVED_LEASE_MS
        : STREAM_RETENTION_MS - ageMs + LEASE_MARGIN_MS;
    const leaseId = unusedLeases.get(id) ?? (await store.grantLease(leaseMs));
    unusedLeases.set(id, leaseId);
    const { era } = view.position();
    try {
      await store.putLeased({
        ...options.encode({ service, version, writer: ownId, era }),
        leaseId,
      });
    } catch (error) {
      if (error instanceof LeaseEndedError) {
        unusedLeases.delete(id);
      }
      throw error;
    }
    unusedLeases.delete(id);
    const nowMs = clock.monotonicMs();
    leases.set(id, { leaseId, writtenAtMs: nowMs, renewedAtMs: nowMs });
    lacks.delete(id);
    metrics.increment('kept_versions', { call: 'write' });
    log.info('version-kept', { service, version });
  }

  async function renew(id: string, lease: OwnLease): Promise<void> {
    try {
      await store.renewLease(lease.leaseId);
      leases.set(id, { ...lease, renewedAtMs: clock.monotonicMs() });
      metrics.increment('kept_versions', { call: 'renewal' });
    } catch (error) {
      if (error instanceof LeaseEndedError) {
        leases.delete(id);
      }
      throw error;
    }
  }

  /** Makes at most one write or renewal, so that many versions do not come as a burst. */
  async function keepNext(): Promise<void> {
    const entries = new Map(view.keptVersions().map((entry) => [idOf(entry), entry]));
    for (const sighting of streams.sightings()) {
      const id = idOf(sighting);
      const entry = entries.get(id);
      const isServed = sighting.ageMs <= RENEWAL_INTERVAL_MS;
      const lease = leases.get(id);
      if (!isKept(id, isServed, entry)) {
        if (isDue(id, entry)) {
          await write(id, sighting);
          return;
        }
        continue;
      }
      lacks.delete(id);
      const isRenewalDue =
        lease !== undefined && clock.monotonicMs() - lease.renewedAtMs >= RENEWAL_INTERVAL_MS;
      if (isServed && isRenewalDue && (entry === undefined || entry.writer === ownId)) {
        await renew(id, lease);
        return;
      }
    }
  }

  function dropForgotten(): void {
    const seen = new Set(streams.sightings().map(idOf));
    [leases, lacks, unusedLeases].forEach((map) =>
      [...map.keys()].filter((id) => !seen.has(id)).forEach((id) => map.delete(id)),
    );
  }

  let pauseMs = ROUND_INTERVAL_MS;
  while (!signal.aborted) {
    await clock.sleep(pauseMs, signal).catch(() => undefined);
    if (!signal.aborted && streams.knowsVersions()) {
      try {
        dropForgotten();
        await keepNext();
        pauseMs = ROUND_INTERVAL_MS;
      } catch (error) {
        const retryMs = Math.max(MIN_RETRY_PAUSE_MS, 2 * pauseMs);
        pauseMs = Math.min(MAX_RETRY_PAUSE_MS, retryMs);
        metrics.increment('kept_versions', { call: 'failed' });
        log.warn('version-keeping-failed', { reason: (error as Error).name, retryMs: pauseMs });
      }
    }
  }
}

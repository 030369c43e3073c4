import type {
  AvailabilityZoneId,
  Clock,
  HostId,
  LogSink,
  RegionId,
  StoreRevision,
  WatchEvent,
} from '@camphorbarrow/core';
import type { FleetChange } from '../model/FleetChange.js';
import type { HostRegistration } from '../model/HostRegistration.js';
import type { RoutingTable } from '../model/RoutingTable.js';
import type { StoreChanges, StoreListing } from '../ports/MetadataStore.js';
import type { StoreUpdate } from '../model/StoreUpdate.js';
import { createChangeLog } from './createChangeLog.js';
import { createReplica } from './createReplica.js';
import { createServerDirectory } from './createServerDirectory.js';
import type { ServerDirectory } from './createServerDirectory.js';

/** Maximum age of server heartbeats sent to peers; longer than their polling interval. */
const RECENT_HEARTBEAT_MAX_AGE_MS = 1_000;

export interface FleetViewOptions {
  readonly clock: Clock;
  readonly log: LogSink;
  /** Decodes a changed key of the store. Does not throw, and logs what it cannot decode. */
  readonly decode: (event: WatchEvent) => FleetChange;
  readonly regionOfZone: (zone: AvailabilityZoneId) => RegionId | undefined;
  readonly coldAfterEvacuationMs: () => number;
}

/** This host's view of the fleet, from the store or from peers. */
export interface FleetView {
  /** Latest configuration; undefined until the first one is known. */
  table(): RoutingTable | undefined;
  isEvacuated(zone: AvailabilityZoneId): boolean;
  readonly servers: Pick<ServerDirectory, 'get' | 'all'>;
  /** Entry hosts registered in the store. */
  hosts(): readonly HostRegistration[];
  revision(): StoreRevision;
  /** Monotonic time at which the store last responded to this host or to a peer that updated it. */
  confirmedAtMs(): number;
  applyListing(listing: StoreListing): void;
  applyChanges(changes: StoreChanges): void;
  /** Applies a store update from a peer. */
  applyPeerUpdate(update: StoreUpdate): void;
  /** Returns the changes after a revision, for a peer that is at this revision. */
  updateSince(revision: StoreRevision): StoreUpdate;
  /** Records that the store did not respond; removals may then be expired leases. */
  recordStoreUnavailable(): void;
}

/** Creates an empty view. */
export function createFleetView(options: FleetViewOptions): FleetView {
  const { clock, log } = options;
  const replica = createReplica();
  const changes = createChangeLog();
  const hosts = new Map<HostId, HostRegistration>();
  const evacuated = new Set<AvailabilityZoneId>();
  let table: RoutingTable | undefined;
  let storeLastUnavailableAtMs = -Infinity;
  let confirmedAtMs = -Infinity;
  const servers = createServerDirectory({
    clock,
    regionOfZone: options.regionOfZone,
    storeLastUnavailableAtMs: () => storeLastUnavailableAtMs,
    coldAfterEvacuationMs: options.coldAfterEvacuationMs,
  });

  function applyTable(next: RoutingTable): void {
    if (table !== undefined && next.version <= table.version) {
      return;
    }
    log.info('configuration-applied', {
      version: next.version,
      replacedVersion: table?.version,
      routes: next.routes.length,
    });
    table = next;
  }

  function applyEvacuation(zone: AvailabilityZoneId, active: boolean): void {
    if (evacuated.has(zone) === active) {
      return;
    }
    log.info('evacuation-changed', { zone, active });
    if (active) {
      evacuated.add(zone);
    } else {
      evacuated.delete(zone);
      servers.recordEvacuationEnd(zone);
    }
  }

  /** Applies one change. Returns whether more than a heartbeat changed. */
  function apply(event: WatchEvent): boolean {
    const change = options.decode(event);
    switch (change.kind) {
      case 'configuration':
        applyTable(change.table);
        break;
      case 'evacuation':
        applyEvacuation(change.zone, change.active);
        break;
      case 'server':
        if (!servers.update(change.id, change.registration)) {
          return false;
        }
        log.info('server-changed', {
          serverId: change.id,
          state: change.registration?.state ?? 'gone',
          service: change.registration?.service,
          zone: change.registration?.zone,
          coldRemainingMs: change.registration?.coldRemainingMs,
          revision: event.modRevision,
        });
        break;
      case 'host':
        if (change.registration === undefined) {
          hosts.delete(change.id);
        } else {
          hosts.set(change.id, change.registration);
        }
        break;
      case 'unreadable':
      case 'unrelated':
        break;
    }
    return true;
  }

  function applyEvents(events: readonly WatchEvent[]): void {
    const revision = replica.revision();
    events.filter(apply).forEach(({ key }) => changes.append(key, revision));
  }

  function applyListing(listing: StoreListing): void {
    if (listing.revision >= replica.revision()) {
      applyEvents(replica.applyListing(listing));
      changes.reset(replica.revision());
    }
  }

  function recentHeartbeats(): StoreUpdate['heard'] {
    const nowMs = clock.monotonicMs();
    return servers
      .all()
      .filter(({ lastHeartbeatAtMs }) => nowMs - lastHeartbeatAtMs <= RECENT_HEARTBEAT_MAX_AGE_MS)
      .map(({ registration, lastHeartbeatAtMs }) => [
        registration.id,
        Math.round(nowMs - lastHeartbeatAtMs),
      ]);
  }

  const ageMs = (atMs: number): number | null =>
    Number.isFinite(atMs) ? clock.monotonicMs() - atMs : null;

  return {
    table: () => table,
    isEvacuated: (zone) => evacuated.has(zone),
    servers,
    hosts: () => [...hosts.values()],
    revision: replica.revision,
    confirmedAtMs: () => confirmedAtMs,
    applyListing(listing) {
      applyListing(listing);
      confirmedAtMs = clock.monotonicMs();
    },
    applyChanges(storeChanges) {
      applyEvents(replica.applyChanges(storeChanges));
      confirmedAtMs = clock.monotonicMs();
    },
    applyPeerUpdate({ complete, items, removals, revision, ...update }) {
      const nowMs = clock.monotonicMs();
      if (update.storeAwayMs !== null) {
        storeLastUnavailableAtMs = Math.max(storeLastUnavailableAtMs, nowMs - update.storeAwayMs);
      }
      if (complete) {
        applyListing({ items, revision });
      } else {
        const events: readonly WatchEvent[] = [
          ...items.map((item) => ({ kind: 'put' as const, ...item })),
          ...removals.map((removal) => ({ kind: 'delete' as const, value: '', ...removal })),
        ];
        applyEvents(replica.applyChanges({ events, revision }));
      }
      update.heard.forEach(([id, age]) => servers.recordHeartbeat(id, nowMs - age));
      if (update.ageMs !== null) {
        confirmedAtMs = Math.max(confirmedAtMs, nowMs - update.ageMs);
      }
    },
    updateSince(revision) {
      const keys = changes.since(revision);
      const known = [...(keys ?? [])];
      return {
        complete: keys === undefined,
        items:
          keys === undefined ? replica.items() : known.flatMap((key) => replica.get(key) ?? []),
        removals: known.flatMap((key) => {
          const modRevision = replica.removedAt(key);
          return modRevision === undefined ? [] : [{ key, modRevision }];
        }),
        heard: recentHeartbeats(),
        revision: replica.revision(),
        ageMs: ageMs(confirmedAtMs),
        storeAwayMs: ageMs(storeLastUnavailableAtMs),
      };
    },
    recordStoreUnavailable() {
      storeLastUnavailableAtMs = clock.monotonicMs();
    },
  };
}

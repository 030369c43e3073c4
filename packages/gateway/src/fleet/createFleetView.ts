import type {
  AvailabilityZoneId,
  Clock,
  HostId,
  KeyValue,
  LogSink,
  RegionId,
  WatchEvent,
} from '@camphorbarrow/core';
import type { FleetChange } from '../model/FleetChange.js';
import type { HostRegistration } from '../model/HostRegistration.js';
import type { RoutingTable } from '../model/RoutingTable.js';
import type { StoreChanges, StoreListing } from '../ports/MetadataStore.js';
import type { StorePosition } from '../model/StorePosition.js';
import type { StoreUpdate } from '../model/StoreUpdate.js';
import { compareStorePositions } from './compareStorePositions.js';
import { createChangeLog } from './createChangeLog.js';
import { createDeferredChanges } from './createDeferredChanges.js';
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
  position(): StorePosition;
  /** Monotonic time at which the store last responded to this host or to a peer that updated it. */
  confirmedAtMs(): number;
  applyListing(listing: StoreListing): void;
  applyChanges(changes: StoreChanges): void;
  /** Applies a store update from a peer; items of an earlier era are ignored. */
  applyPeerUpdate(update: StoreUpdate): void;
  /** Returns the changes after a position, for a peer that is at this position. */
  updateSince(position: StorePosition): StoreUpdate;
  /** Calls the listener whenever this host learns that the store was restored from an older copy. */
  onRestored(listener: () => void): void;
  /** Records that the store did not respond; removals may then be expired leases. */
  recordStoreUnavailable(): void;
}

/** Creates an empty view. */
export function createFleetView(options: FleetViewOptions): FleetView {
  const { clock, log } = options;
  const replica = createReplica();
  const changes = createChangeLog();
  const deferred = createDeferredChanges(clock);
  const restoreListeners: (() => void)[] = [];
  const hosts = new Map<HostId, HostRegistration>();
  const evacuated = new Set<AvailabilityZoneId>();
  /** Evacuations that were known so far, also those that ended; as key and revision. */
  const knownEvacuations = new Set<string>();
  let table: RoutingTable | undefined;
  /** Item that `table` was decoded from. */
  let tableItem: KeyValue | undefined;
  let storeLastUnavailableAtMs = -Infinity;
  let confirmedAtMs = -Infinity;
  const servers = createServerDirectory({
    clock,
    regionOfZone: options.regionOfZone,
    storeLastUnavailableAtMs: () => storeLastUnavailableAtMs,
    coldAfterEvacuationMs: options.coldAfterEvacuationMs,
  });

  function applyTable(next: RoutingTable, item: KeyValue): void {
    if (table !== undefined && next.version <= table.version) {
      if (next.version === table.version) {
        tableItem = item;
      } else {
        log.info('configuration-ignored', { version: next.version, knownVersion: table.version });
      }
      return;
    }
    log.info('configuration-applied', {
      version: next.version,
      replacedVersion: table?.version,
      routes: next.routes.length,
    });
    table = next;
    tableItem = item;
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

  const toEvacuationId = ({ key, modRevision }: KeyValue): string => `${key}@${modRevision}`;

  /** Applies one change. Returns whether more than a heartbeat changed. */
  function apply(event: WatchEvent): boolean {
    const change = options.decode(event);
    switch (change.kind) {
      case 'configuration':
        applyTable(change.table, event);
        break;
      case 'evacuation':
        if (change.active) {
          knownEvacuations.add(toEvacuationId(event));
        }
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

  /** Whether the item of a restored copy contradicts what this host learned after the copy. */
  function isOutdated(event: WatchEvent): boolean {
    const change = options.decode(event);
    switch (change.kind) {
      case 'evacuation':
        // The listing also holds what was written after the restore, which must not wait.
        return change.active
          ? !evacuated.has(change.zone) && knownEvacuations.has(toEvacuationId(event))
          : evacuated.has(change.zone);
      case 'server':
        return (
          change.registration !== undefined && servers.isOutdated(change.id, change.registration)
        );
      default:
        return false;
    }
  }

  function isServerListed(event: WatchEvent): boolean {
    const change = options.decode(event);
    return change.kind === 'server' && servers.get(change.id) !== undefined;
  }

  function applyEvents(events: readonly WatchEvent[]): void {
    const { revision } = replica.position();
    events.forEach(({ key }) => deferred.drop(key));
    events.filter(apply).forEach(({ key }) => changes.append(key, revision));
    deferred
      .takeDue()
      .filter((event) => !isOutdated(event) || !isServerListed(event))
      .forEach(apply);
  }

  /**
   * Replaces the replica after the store was restored from an older copy. The copy lacks what was
   * written after it, so what this host knows goes first until it is written again. Configurations
   * are ordered by their version alone.
   */
  function applyRestoredListing(listing: StoreListing): void {
    const previous = replica.position();
    // Entries that the copy lacks are kept for as long as those that expired during an outage.
    storeLastUnavailableAtMs = clock.monotonicMs();
    servers.recordStoreRestored();
    const waiting = deferred.takeAll();
    const changed = replica.applyListing(listing);
    const changedKeys = new Set(changed.map(({ key }) => key));
    // The replica already holds what an earlier copy showed; this host has not applied it yet.
    const events = [...changed, ...waiting.filter(({ key }) => !changedKeys.has(key))];
    const outdated = new Set(events.filter(isOutdated));
    outdated.forEach(deferred.defer);
    events.filter((event) => !outdated.has(event)).forEach(apply);
    changes.reset(listing.revision);
    log.warn('store-restored', {
      era: listing.era,
      revision: listing.revision,
      previousEra: previous.era,
      previousRevision: previous.revision,
      changes: events.length,
      deferred: outdated.size,
      version: table?.version,
    });
    restoreListeners.forEach((listener) => listener());
  }

  /** Applies a listing. Returns false if it is older than what is known. */
  function applyListing(listing: StoreListing): boolean {
    const known = replica.position();
    if (compareStorePositions(listing, known) < 0) {
      log.warn('store-listing-ignored', {
        era: listing.era,
        revision: listing.revision,
        knownEra: known.era,
        knownRevision: known.revision,
      });
      return false;
    }
    if (listing.era > known.era && known.revision > 0) {
      applyRestoredListing(listing);
    } else {
      applyEvents(replica.applyListing(listing));
      changes.reset(listing.revision);
    }
    return true;
  }

  /** Applies the changes of a peer's update. Returns false if they are of an earlier era. */
  function applyPeerChanges({ complete, items, removals, era, revision }: StoreUpdate): boolean {
    if (complete) {
      return applyListing({ items, era, revision }) || era === replica.position().era;
    }
    const events: readonly WatchEvent[] = [
      ...items.map((item) => ({ kind: 'put' as const, ...item })),
      ...removals.map((removal) => ({ kind: 'delete' as const, value: '', ...removal })),
    ];
    applyEvents(replica.applyChanges({ events, era, revision }));
    return era === replica.position().era;
  }

  /** Adopts a newer configuration that a peer keeps in force although the store lost it. */
  function applyPeerConfiguration(item: KeyValue | null): void {
    if (item !== null) {
      const event = { kind: 'put' as const, ...item };
      const change = options.decode(event);
      if (change.kind === 'configuration') {
        applyTable(change.table, item);
      }
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
    position: replica.position,
    confirmedAtMs: () => confirmedAtMs,
    applyListing(listing) {
      if (applyListing(listing)) {
        confirmedAtMs = clock.monotonicMs();
      }
    },
    applyChanges(storeChanges) {
      applyEvents(replica.applyChanges(storeChanges));
      if (storeChanges.era === replica.position().era) {
        confirmedAtMs = clock.monotonicMs();
      }
    },
    applyPeerUpdate(update) {
      const nowMs = clock.monotonicMs();
      applyPeerConfiguration(update.configuration);
      if (update.storeAwayMs !== null) {
        storeLastUnavailableAtMs = Math.max(storeLastUnavailableAtMs, nowMs - update.storeAwayMs);
      }
      if (!applyPeerChanges(update)) {
        return;
      }
      update.heard.forEach(([id, age]) => servers.recordHeartbeat(id, nowMs - age));
      if (update.ageMs !== null) {
        confirmedAtMs = Math.max(confirmedAtMs, nowMs - update.ageMs);
      }
    },
    updateSince(since) {
      const position = replica.position();
      const keys = since.era === position.era ? changes.since(since.revision) : undefined;
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
        ...position,
        configuration:
          tableItem === undefined || replica.get(tableItem.key)?.value === tableItem.value
            ? null
            : { key: tableItem.key, value: tableItem.value, modRevision: tableItem.modRevision },
        ageMs: ageMs(confirmedAtMs),
        storeAwayMs: ageMs(storeLastUnavailableAtMs),
      };
    },
    onRestored(listener) {
      restoreListeners.push(listener);
    },
    recordStoreUnavailable() {
      storeLastUnavailableAtMs = clock.monotonicMs();
    },
  };
}

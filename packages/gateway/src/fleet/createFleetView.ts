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
import { createReplica } from './createReplica.js';
import { createServerDirectory } from './createServerDirectory.js';
import type { ServerDirectory } from './createServerDirectory.js';

export interface FleetViewOptions {
  readonly clock: Clock;
  readonly log: LogSink;
  /** Gives a changed key of the store its meaning. */
  readonly decode: (event: WatchEvent) => FleetChange;
  readonly regionOfZone: (zone: AvailabilityZoneId) => RegionId | undefined;
  readonly coldAfterEvacuationMs: () => number;
}

/** What this host believes of the fleet, from the store or from peers. */
export interface FleetView {
  /** Newest configuration; undefined before the first one is known. */
  table(): RoutingTable | undefined;
  isEvacuated(zone: AvailabilityZoneId): boolean;
  readonly servers: Omit<ServerDirectory, 'update' | 'evacuationEnded'>;
  /** Entry hosts registered in the store. */
  hosts(): readonly HostRegistration[];
  revision(): StoreRevision;
  /** Monotonic time at which the store itself last answered this host. */
  confirmedAtMs(): number;
  applyListing(listing: StoreListing): void;
  applyChanges(changes: StoreChanges): void;
  /** Takes what a peer knows of the store. */
  applyPeerListing(listing: StoreListing): void;
  exportListing(): StoreListing;
  /** The store failed to answer this host; removals may be lapses. */
  noteStoreAway(): void;
}

/** Creates a view that knows nothing yet. */
export function createFleetView(options: FleetViewOptions): FleetView {
  const { clock, log } = options;
  const replica = createReplica();
  const hosts = new Map<HostId, HostRegistration>();
  const evacuated = new Set<AvailabilityZoneId>();
  let table: RoutingTable | undefined;
  let storeLastAwayAtMs = -Infinity;
  let confirmedAtMs = -Infinity;
  const servers = createServerDirectory({
    clock,
    regionOfZone: options.regionOfZone,
    storeLastAwayAtMs: () => storeLastAwayAtMs,
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
      servers.evacuationEnded(zone);
    }
  }

  function apply(event: WatchEvent): void {
    const change = options.decode(event);
    switch (change.kind) {
      case 'configuration':
        applyTable(change.table);
        break;
      case 'evacuation':
        applyEvacuation(change.zone, change.active);
        break;
      case 'server':
        if (servers.update(change.id, change.registration)) {
          log.info('server-changed', {
            serverId: change.id,
            state: change.registration?.state ?? 'gone',
            service: change.registration?.service,
            zone: change.registration?.zone,
            coldRemainingMs: change.registration?.coldRemainingMs,
            revision: event.modRevision,
          });
        }
        break;
      case 'host':
        if (change.registration === undefined) {
          hosts.delete(change.id);
        } else {
          hosts.set(change.id, change.registration);
        }
        break;
      case 'unreadable':
        log.warn('store-item-unreadable', { key: event.key, problem: change.problem });
        break;
      case 'unrelated':
        break;
    }
  }

  function applyListing(listing: StoreListing): void {
    if (listing.revision >= replica.revision()) {
      replica.applyListing(listing).forEach(apply);
    }
  }

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
    applyPeerListing: applyListing,
    applyChanges(changes) {
      replica.applyChanges(changes).forEach(apply);
      confirmedAtMs = clock.monotonicMs();
    },
    exportListing: replica.exportListing,
    noteStoreAway() {
      storeLastAwayAtMs = clock.monotonicMs();
    },
  };
}

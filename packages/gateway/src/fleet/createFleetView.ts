import { encodeWholeNumber } from '@camphorbarrow/core';
import type { AvailabilityZoneId, WatchEvent } from '@camphorbarrow/core';
import type { HostRegistration } from '../model/HostRegistration.js';
import type { ConfigurationToKeep } from '../model/KeptConfiguration.js';
import type { KeptVersion } from '../model/KeptVersion.js';
import type { RoutingTable } from '../model/RoutingTable.js';
import type { StoreChanges, StoreListing } from '../ports/MetadataStore.js';
import type { StorePosition } from '../model/StorePosition.js';
import { printPosition } from '../model/printPosition.js';
import { printVersion } from '../model/printVersion.js';
import type { StoreUpdate } from '../model/StoreUpdate.js';
import { compareStorePositions } from './compareStorePositions.js';
import { createChangeLog } from './createChangeLog.js';
import { createDeferredChanges } from './createDeferredChanges.js';
import { createReplica } from './createReplica.js';
import { createFleetState } from './createFleetState.js';
import type { FleetStateOptions } from './createFleetState.js';
import type { ServerDirectory } from './createServerDirectory.js';

/** Maximum age of server heartbeats sent to peers; longer than their polling interval. */
const RECENT_HEARTBEAT_MAX_AGE_MS = 1_000;

export type FleetViewOptions = Omit<
  FleetStateOptions,
  'storeLastUnavailableAtMs' | 'onConfiguration' | 'storeEra'
>;

/** This host's view of the fleet, from the store or from peers. */
export interface FleetView {
  /** Latest configuration; undefined until the first one is known. */
  table(): RoutingTable | undefined;
  /** Why the newest configuration cannot be read; undefined if it can, or if there is none. */
  configurationProblem(): string | undefined;
  /** Why the store could not be read last; undefined once it could. */
  storeProblem(): string | undefined;
  isEvacuated(zone: AvailabilityZoneId): boolean;
  readonly servers: Pick<ServerDirectory, 'get' | 'all' | 'ofService'>;
  /** Entry hosts registered in the store; the same array until one of them changes. */
  hosts(): readonly HostRegistration[];
  /** Versions of the servers of services, which the hosts keep in the store. */
  keptVersions(): readonly KeptVersion[];
  /** Configuration in force if the store held it in this era and the hosts do not keep it yet. */
  configurationToKeep(): ConfigurationToKeep | undefined;
  position(): StorePosition;
  /** Monotonic time at which the store last responded to this host or to a peer that updated it. */
  confirmedAtMs(): number;
  applyListing(listing: StoreListing): void;
  applyChanges(changes: StoreChanges): void;
  /** Applies a store update from a peer; items of an earlier era are ignored. */
  applyPeerUpdate(update: StoreUpdate): void;
  /** Returns the changes after a position, for a peer that is at this position. */
  updateSince(position: StorePosition): StoreUpdate;
  /** Calls the listener with each configuration that comes into force. */
  onConfiguration(listener: (table: RoutingTable) => void): void;
  /** Calls the listener whenever this host learns that the store was restored from an older copy. */
  onRestored(listener: () => void): void;
  /** Records that the store did not respond, and why; removals may then be expired leases. */
  recordStoreUnavailable(problem?: string): void;
}

/** Creates an empty view. */
export function createFleetView(options: FleetViewOptions): FleetView {
  const { clock, log } = options;
  const replica = createReplica();
  const changes = createChangeLog();
  const deferred = createDeferredChanges(clock);
  const restoreListeners: (() => void)[] = [];
  const configurationListeners: ((table: RoutingTable) => void)[] = [];
  let storeLastUnavailableAtMs = -Infinity;
  let confirmedAtMs = -Infinity;
  let storeProblem: string | undefined;
  const state = createFleetState({
    ...options,
    onConfiguration: (table) => configurationListeners.forEach((listener) => listener(table)),
    storeEra: () => replica.position().era,
    storeLastUnavailableAtMs: () => storeLastUnavailableAtMs,
  });
  const { servers } = state;

  function applyEvents(events: readonly WatchEvent[]): void {
    const { revision } = replica.position();
    events.forEach(({ key }) => deferred.drop(key));
    events.filter(state.apply).forEach(({ key }) => changes.append(key, revision));
    deferred
      .takeDue()
      .filter((event) => !state.isOutdated(event) || !state.isOfListedServer(event))
      .forEach(state.apply);
    state.applyKeptConfiguration();
  }

  /**
   * Replaces the replica after the store was restored from an older copy. The copy lacks what was
   * written after it, so what this host knows goes first until it is written again. Configurations
   * of different eras are ordered by their version alone.
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
    const outdated = new Set(events.filter(state.isOutdated));
    outdated.forEach(deferred.defer);
    events.filter((event) => !outdated.has(event)).forEach(state.apply);
    changes.reset(listing.revision);
    log.warn('store-restored', {
      ...printPosition(listing),
      previousEra: encodeWholeNumber(previous.era),
      previousRevision: encodeWholeNumber(previous.revision),
      changes: events.length,
      deferred: outdated.size,
      version: printVersion(state.table()?.version),
    });
    restoreListeners.forEach((listener) => listener());
  }

  /** Applies a listing. Returns false if it is older than what is known. */
  function applyListing(listing: StoreListing): boolean {
    const known = replica.position();
    if (compareStorePositions(listing, known) < 0) {
      log.warn('store-listing-ignored', {
        ...printPosition(listing),
        knownEra: encodeWholeNumber(known.era),
        knownRevision: encodeWholeNumber(known.revision),
      });
      return false;
    }
    if (listing.era > known.era && known.revision > 0) {
      applyRestoredListing(listing);
    } else {
      applyEvents(replica.applyListing(listing));
      // What a later listing changes is in the log already.
      if (known.revision === 0) {
        changes.reset(listing.revision);
      }
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
    table: state.table,
    configurationProblem: state.configurationProblem,
    storeProblem: () => storeProblem,
    isEvacuated: state.isEvacuated,
    servers,
    hosts: state.hosts,
    keptVersions: state.keptVersions,
    configurationToKeep: state.configurationToKeep,
    position: replica.position,
    confirmedAtMs: () => confirmedAtMs,
    applyListing(listing) {
      storeProblem = undefined;
      if (applyListing(listing)) {
        confirmedAtMs = clock.monotonicMs();
      }
    },
    applyChanges(storeChanges) {
      storeProblem = undefined;
      applyEvents(replica.applyChanges(storeChanges));
      if (storeChanges.era === replica.position().era) {
        confirmedAtMs = clock.monotonicMs();
      }
    },
    applyPeerUpdate(update) {
      const nowMs = clock.monotonicMs();
      // A peer keeps a configuration in force although a restored store lost it.
      if (update.configuration !== null) {
        state.applyConfiguration(update.configuration, update.configuration.era);
      }
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
      const tableItem = state.tableItem();
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
            : {
                key: tableItem.key,
                value: tableItem.value,
                modRevision: tableItem.modRevision,
                era: state.tableEra(),
              },
        ageMs: ageMs(confirmedAtMs),
        storeAwayMs: ageMs(storeLastUnavailableAtMs),
      };
    },
    onConfiguration(listener) {
      configurationListeners.push(listener);
    },
    onRestored(listener) {
      restoreListeners.push(listener);
    },
    recordStoreUnavailable(problem) {
      storeLastUnavailableAtMs = clock.monotonicMs();
      storeProblem = problem ?? 'no response';
    },
  };
}

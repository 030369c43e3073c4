import { encodeWholeNumber } from '@camphorbarrow/core';
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
import type { ConfigurationToKeep, KeptConfiguration } from '../model/KeptConfiguration.js';
import type { KeptVersion } from '../model/KeptVersion.js';
import { printVersion } from '../model/printVersion.js';
import type { RoutingTable } from '../model/RoutingTable.js';
import type { StoreEra } from '../model/StorePosition.js';
import { createEntryList } from './createEntryList.js';
import { createServerDirectory } from './createServerDirectory.js';
import type { ServerDirectory } from './createServerDirectory.js';

export interface FleetStateOptions {
  readonly clock: Clock;
  readonly log: LogSink;
  /** Decodes a changed key of the store. */
  readonly decode: (event: WatchEvent) => FleetChange;
  readonly regionOfZone: (zone: AvailabilityZoneId) => RegionId | undefined;
  readonly coldAfterEvacuationMs: () => number;
  /** Era of the changes that are applied. */
  readonly storeEra: () => StoreEra;
  /** Called with each configuration that comes into force. */
  readonly onConfiguration: (table: RoutingTable) => void;
  /** Monotonic time at which the store was last seen unavailable; -Infinity if never. */
  readonly storeLastUnavailableAtMs: () => number;
}

/** Configuration, evacuations, servers and entry hosts in the form in which they are used. */
export interface FleetState {
  /** Latest configuration; undefined until the first one is known. */
  table(): RoutingTable | undefined;
  /** Why the newest configuration cannot be read; undefined if it can, or if there is none. */
  configurationProblem(): string | undefined;
  /** Item that `table` was decoded from. */
  tableItem(): KeyValue | undefined;
  /** Era in which the store held that item, if it is known. */
  tableEra(): StoreEra | undefined;
  isEvacuated(zone: AvailabilityZoneId): boolean;
  readonly servers: ServerDirectory;
  /** Entry hosts registered in the store. */
  hosts(): readonly HostRegistration[];
  /** Versions that the hosts keep in the store. */
  keptVersions(): readonly KeptVersion[];
  /** Configuration in force if the store held it in this era and the hosts do not keep it yet. */
  configurationToKeep(): ConfigurationToKeep | undefined;
  /** Applies one change. Returns whether more than a heartbeat changed. */
  apply(event: WatchEvent): boolean;
  /**
   * Applies the item of another host if its configuration is newer than the one in force.
   *
   * @param era in which the store held it; undefined if the host does not tell it
   */
  applyConfiguration(item: KeyValue, era: StoreEra | undefined): void;
  /** Puts the kept configuration in force if there is no other. */
  applyKeptConfiguration(): void;
  /** Whether the item of a restored copy contradicts what this host learned after the copy. */
  isOutdated(event: WatchEvent): boolean;
  /** Whether the change is about a server that is listed. */
  isOfListedServer(event: WatchEvent): boolean;
}

/** Creates an empty state. */
export function createFleetState(options: FleetStateOptions): FleetState {
  const { log } = options;
  const hosts = createEntryList<HostId, HostRegistration>();
  const keptVersions = createEntryList<string, KeptVersion>();
  const evacuated = new Set<AvailabilityZoneId>();
  /** Evacuations that were known so far, also those that ended; as key and revision. */
  const knownEvacuations = new Set<string>();
  let table: RoutingTable | undefined;
  let tableItem: KeyValue | undefined;
  /** Era in which the store holds `tableItem`; undefined if a host of an earlier build told it. */
  let tableEra: StoreEra | undefined;
  let configurationProblem: string | undefined;
  let keptConfiguration: KeptConfiguration | undefined;
  const servers = createServerDirectory(options);

  /**
   * Within an era, the store has the order of what the operator wrote: a version that was written by
   * mistake must not hold against all later ones. Otherwise, only the version tells it.
   */
  function replacesTable(next: RoutingTable, item: KeyValue, era: StoreEra | undefined): boolean {
    if (table === undefined || tableItem === undefined) {
      return true;
    }
    return era !== undefined && era === tableEra
      ? next.version !== table.version && item.modRevision > tableItem.modRevision
      : next.version > table.version;
  }

  /** Records that the store holds the configuration in force again, after a restore or a new write. */
  function recordTableItem(item: KeyValue, era: StoreEra | undefined): void {
    const isLater =
      era !== undefined &&
      (tableEra === undefined ||
        era > tableEra ||
        (era === tableEra && item.modRevision > (tableItem?.modRevision ?? 0)));
    if (isLater) {
      tableItem = item;
      tableEra = era;
    }
  }

  function applyTable(next: RoutingTable, item: KeyValue, era: StoreEra | undefined): void {
    if (table !== undefined && !replacesTable(next, item, era)) {
      if (next.version === table.version) {
        recordTableItem(item, era);
      } else {
        log.info('configuration-ignored', {
          version: printVersion(next.version),
          knownVersion: printVersion(table.version),
        });
      }
      return;
    }
    log.info('configuration-applied', {
      version: printVersion(next.version),
      replacedVersion: printVersion(table?.version),
      routes: next.routes.length,
      customers: next.customers?.byId.size,
    });
    if (next.customers !== undefined && next.customers.problems.length > 0) {
      log.warn('customers-left-out', {
        version: printVersion(next.version),
        problems: next.customers.problems.join('; '),
      });
    }
    table = next;
    tableItem = item;
    tableEra = era;
    options.onConfiguration(next);
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

  function apply(event: WatchEvent): boolean {
    const change = options.decode(event);
    switch (change.kind) {
      case 'configuration':
        configurationProblem = change.problem;
        if (change.table !== undefined) {
          applyTable(change.table, event, options.storeEra());
        }
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
          revision: encodeWholeNumber(event.modRevision),
        });
        break;
      case 'host':
        hosts.apply(change.id, change.registration);
        break;
      case 'kept-version':
        keptVersions.apply(change.key, change.entry);
        break;
      case 'kept-configuration':
        keptConfiguration = change.entry;
        break;
      case 'unreadable':
      case 'unrelated':
        break;
    }
    return true;
  }

  /** Returns the kept configuration; undefined if it is damaged or cannot be read either. */
  function readKeptConfiguration({
    unpack,
  }: KeptConfiguration): { readonly next: RoutingTable; readonly item: KeyValue } | undefined {
    let item: KeyValue;
    try {
      item = unpack();
    } catch (error) {
      log.warn('kept-configuration-damaged', { reason: (error as Error).message });
      return undefined;
    }
    const change = options.decode({ kind: 'put', ...item });
    return change.kind === 'configuration' && change.table !== undefined
      ? { next: change.table, item }
      : undefined;
  }

  function applyKeptConfiguration(): void {
    if (table !== undefined || keptConfiguration === undefined) {
      return;
    }
    const read = readKeptConfiguration(keptConfiguration);
    if (read === undefined) {
      // Not tried again until it is written again.
      keptConfiguration = undefined;
      return;
    }
    log.warn('kept-configuration-used', {
      version: printVersion(read.next.version),
      problem: configurationProblem ?? 'the store holds no configuration',
    });
    applyTable(read.next, read.item, keptConfiguration.era);
  }

  function configurationToKeep(): ConfigurationToKeep | undefined {
    const era = options.storeEra();
    if (tableItem === undefined || tableEra !== era) {
      return undefined;
    }
    const isKept =
      keptConfiguration !== undefined &&
      (keptConfiguration.era > era ||
        (keptConfiguration.era === era && keptConfiguration.revision >= tableItem.modRevision));
    return isKept ? undefined : { item: tableItem, era };
  }

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

  return {
    table: () => table,
    configurationProblem: () => configurationProblem,
    tableItem: () => tableItem,
    tableEra: () => tableEra,
    isEvacuated: (zone) => evacuated.has(zone),
    servers,
    hosts: hosts.all,
    keptVersions: keptVersions.all,
    configurationToKeep,
    apply,
    applyKeptConfiguration,
    applyConfiguration(item, era) {
      const change = options.decode({ kind: 'put', ...item });
      if (change.kind === 'configuration' && change.table !== undefined) {
        applyTable(change.table, item, era);
      }
    },
    isOutdated,
    isOfListedServer(event) {
      const change = options.decode(event);
      return change.kind === 'server' && servers.get(change.id) !== undefined;
    },
  };
}

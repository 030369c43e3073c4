import type { AvailabilityZoneId, Clock, RegionId, ServerId } from '@camphorbarrow/core';
import type { ServerRegistration } from '../model/ServerRegistration.js';
import type { ServerState } from '../model/ServerState.js';
import type { ServiceName } from '../model/ServiceName.js';
import { createServerIndex } from './createServerIndex.js';
import type { ServerIndex } from './createServerIndex.js';

/**
 * Time after an outage of the store within which servers whose entries expired register again. The
 * platform promises about two seconds.
 */
export const EXPIRED_ENTRY_GRACE_MS = 2_300;

export interface ServerDirectoryOptions {
  readonly clock: Clock;
  readonly regionOfZone: (zone: AvailabilityZoneId) => RegionId | undefined;
  /** Monotonic time at which the store was last seen unavailable; -Infinity if never. */
  readonly storeLastUnavailableAtMs: () => number;
  /** Time after an evacuation for which servers of the zone may be cold without reporting it. */
  readonly coldAfterEvacuationMs: () => number;
}

/** Known backend servers. */
export interface ServerDirectory {
  get(id: ServerId): ServerState | undefined;
  /** All known servers, including draining ones; the same array until one of them changes. */
  all(): readonly ServerState[];
  /** Known servers of a service in a region, including draining ones; cached like `all`. */
  ofService(service: ServiceName, region: RegionId): readonly ServerState[];
  /** Applies a new entry or its removal. Returns whether more than the heartbeat changed. */
  update(id: ServerId, registration: ServerRegistration | undefined): boolean;
  /**
   * Whether the entry is older than what is known of the same process, or of one that started later;
   * any entry is if that process is no longer listed. Only entries of a store that was restored from
   * an older copy can be.
   */
  isOutdated(id: ServerId, registration: ServerRegistration): boolean;
  /** Gives servers whose entries expired the time to register again in a restored store. */
  recordStoreRestored(): void;
  /** Records the monotonic time at which a peer received a heartbeat of the server. */
  recordHeartbeat(id: ServerId, atMs: number): void;
  /** Treats the servers of the zone as cold, because they received no requests for a while. */
  recordEvacuationEnd(zone: AvailabilityZoneId): void;
}

interface DirectoryEntry {
  state: ServerState;
  /** Monotonic time at which a server whose entry expired during a store outage is dropped. */
  expiresAtMs: number | undefined;
}

/** Changes of the reported cold time below this are attributed to delays of the heartbeat. */
const COLD_TIME_TOLERANCE_MS = 500;

/** Time for which the last entries of servers that are no longer listed are kept. */
const REMOVED_RETENTION_MS = 120_000;

interface RemovedServer {
  readonly registration: ServerRegistration;
  readonly removedAtMs: number;
}

function startedLater(later: ServerRegistration, earlier: ServerRegistration): boolean {
  return (
    later.startedAtMs !== undefined &&
    earlier.startedAtMs !== undefined &&
    later.startedAtMs > earlier.startedAtMs
  );
}

function isSameLifetime(earlier: ServerRegistration, later: ServerRegistration): boolean {
  return (
    earlier.endpoint.host === later.endpoint.host &&
    earlier.endpoint.port === later.endpoint.port &&
    earlier.service === later.service &&
    earlier.softwareVersion === later.softwareVersion &&
    earlier.startedAtMs === later.startedAtMs &&
    earlier.sequence <= later.sequence
  );
}

/** Creates a directory that is updated from the entries of servers in the store. */
export function createServerDirectory(options: ServerDirectoryOptions): ServerDirectory {
  const { clock } = options;
  const servers = new Map<ServerId, DirectoryEntry>();
  const removedServers = new Map<ServerId, RemovedServer>();
  let lifetimeCount = 0;
  /** Built for the first read after a change, as changes arrive many at a time. */
  let cachedIndex: ServerIndex | undefined;
  /** No entry expires before this monotonic time. */
  let nextExpiryAtMs = Infinity;

  function drop(id: ServerId): boolean {
    const entry = servers.get(id);
    const removedAtMs = clock.monotonicMs();
    if (entry !== undefined) {
      removedServers.set(id, { registration: entry.state.registration, removedAtMs });
    }
    [...removedServers]
      .filter(([, removed]) => removedAtMs - removed.removedAtMs > REMOVED_RETENTION_MS)
      .forEach(([removedId]) => removedServers.delete(removedId));
    cachedIndex = undefined;
    return servers.delete(id);
  }

  function dropExpired(): void {
    const nowMs = clock.monotonicMs();
    if (nowMs < nextExpiryAtMs) {
      return;
    }
    [...servers]
      .filter(([, entry]) => entry.expiresAtMs !== undefined && entry.expiresAtMs <= nowMs)
      .forEach(([id]) => drop(id));
    nextExpiryAtMs = Math.min(
      ...[...servers.values()].map(({ expiresAtMs = Infinity }) => expiresAtMs),
    );
  }

  function index(): ServerIndex {
    dropExpired();
    cachedIndex ??= createServerIndex([...servers.values()].map(({ state }) => state));
    return cachedIndex;
  }

  function setState(entry: DirectoryEntry, state: ServerState): void {
    entry.state = state;
    cachedIndex = undefined;
  }

  function setExpiry(entry: DirectoryEntry, expiresAtMs: number): void {
    entry.expiresAtMs = expiresAtMs;
    nextExpiryAtMs = Math.min(nextExpiryAtMs, expiresAtMs);
  }

  function nextIncarnation(registration: ServerRegistration): string {
    lifetimeCount += 1;
    return `${registration.id}#${registration.startedAtMs ?? 0}#${lifetimeCount}`;
  }

  function remove(id: ServerId): boolean {
    const entry = servers.get(id);
    const expiresAtMs = options.storeLastUnavailableAtMs() + EXPIRED_ENTRY_GRACE_MS;
    if (entry !== undefined && expiresAtMs > clock.monotonicMs()) {
      setExpiry(entry, expiresAtMs);
      return true;
    }
    return drop(id);
  }

  return {
    get(id) {
      dropExpired();
      return servers.get(id)?.state;
    },
    all: () => index().all(),
    ofService: (service, region) => index().ofService(service, region),
    update(id, registration) {
      if (registration === undefined) {
        return remove(id);
      }
      const nowMs = clock.monotonicMs();
      const known = servers.get(id)?.state;
      const sameLifetime = known !== undefined && isSameLifetime(known.registration, registration);
      const reportedColdUntilMs =
        registration.coldRemainingMs > 0 ? nowMs + registration.coldRemainingMs : 0;
      const knownColdUntilMs = sameLifetime ? known.coldUntilMs : 0;
      const knownColdSource = sameLifetime ? known.coldSource : undefined;
      const turnedCold =
        reportedColdUntilMs > Math.max(nowMs, knownColdUntilMs) + COLD_TIME_TOLERANCE_MS;
      removedServers.delete(id);
      cachedIndex = undefined;
      servers.set(id, {
        expiresAtMs: undefined,
        state: {
          registration,
          region: options.regionOfZone(registration.zone),
          coldUntilMs: Math.max(reportedColdUntilMs, knownColdUntilMs),
          coldSource: reportedColdUntilMs > knownColdUntilMs ? 'entry' : knownColdSource,
          lastHeartbeatAtMs: nowMs,
          incarnation: sameLifetime ? known.incarnation : nextIncarnation(registration),
        },
      });
      return !sameLifetime || known.registration.state !== registration.state || turnedCold;
    },
    isOutdated(id, registration) {
      dropExpired();
      const listed = servers.get(id)?.state.registration;
      const known = listed ?? removedServers.get(id)?.registration;
      if (known === undefined) {
        return false;
      }
      // A server that left had written its last entry, which a host that follows a peer may not have
      // seen; if the server is alive, it writes again.
      const isEarlier = listed === undefined || registration.sequence < known.sequence;
      return (
        startedLater(known, registration) ||
        (isEarlier && isSameLifetime(registration, { ...known, sequence: Infinity }))
      );
    },
    recordStoreRestored() {
      dropExpired();
      const expiresAtMs = options.storeLastUnavailableAtMs() + EXPIRED_ENTRY_GRACE_MS;
      servers.forEach((entry) => {
        if (entry.expiresAtMs !== undefined) {
          setExpiry(entry, expiresAtMs);
        }
      });
    },
    recordHeartbeat(id, atMs) {
      const entry = servers.get(id);
      if (entry !== undefined && entry.state.lastHeartbeatAtMs < atMs) {
        setState(entry, { ...entry.state, lastHeartbeatAtMs: atMs });
      }
    },
    recordEvacuationEnd(zone) {
      const coldUntilMs = clock.monotonicMs() + options.coldAfterEvacuationMs();
      servers.forEach((entry) => {
        if (entry.state.registration.zone === zone) {
          setState(entry, {
            ...entry.state,
            coldUntilMs: Math.max(entry.state.coldUntilMs, coldUntilMs),
            coldSource:
              coldUntilMs > entry.state.coldUntilMs ? 'evacuation' : entry.state.coldSource,
          });
        }
      });
    },
  };
}

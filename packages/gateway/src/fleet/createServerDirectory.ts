import type { AvailabilityZoneId, Clock, RegionId, ServerId } from '@camphorbarrow/core';
import type { ServerRegistration } from '../model/ServerRegistration.js';
import type { ServerState } from '../model/ServerState.js';

/**
 * Time after the return of the store in which servers whose entries lapsed meanwhile register
 * again. The platform promises about two seconds.
 */
export const EXPIRED_ENTRY_GRACE_MS = 2_300;

export interface ServerDirectoryOptions {
  readonly clock: Clock;
  readonly regionOfZone: (zone: AvailabilityZoneId) => RegionId | undefined;
  /** Monotonic time at which the store was last seen unavailable; -Infinity when never. */
  readonly storeLastUnavailableAtMs: () => number;
  /** Time for which servers of the zone may be cold after an evacuation without telling so yet. */
  readonly coldAfterEvacuationMs: () => number;
}

export interface ServerDirectory {
  get(id: ServerId): ServerState | undefined;
  /** All servers that may be used or are about to leave. */
  all(): readonly ServerState[];
  /** Takes a new entry, or its removal. Returns whether more than the heartbeat changed. */
  update(id: ServerId, registration: ServerRegistration | undefined): boolean;
  /** A peer got a heartbeat of the server at this monotonic time. */
  recordHeartbeat(id: ServerId, atMs: number): void;
  /** Servers of the zone may have turned cold while nothing was sent to them. */
  recordEvacuationEnd(zone: AvailabilityZoneId): void;
}

interface Held {
  state: ServerState;
  /** Monotonic time at which an entry that lapsed with the store counts as gone. */
  lapsesAtMs: number | undefined;
}

/** Heartbeats tell the rest of the cold time; less of a change than this is delay on the way. */
const COLD_TIME_TOLERANCE_MS = 500;

function isSameLifetime(a: ServerRegistration, b: ServerRegistration): boolean {
  return (
    a.endpoint.host === b.endpoint.host &&
    a.endpoint.port === b.endpoint.port &&
    a.service === b.service &&
    a.startedAtMs === b.startedAtMs &&
    a.sequence <= b.sequence
  );
}

/** Creates the list of backend servers, kept from their entries in the store. */
export function createServerDirectory(options: ServerDirectoryOptions): ServerDirectory {
  const { clock } = options;
  const servers = new Map<ServerId, Held>();
  let lifetimes = 0;

  function forgetLapsed(): void {
    const nowMs = clock.monotonicMs();
    [...servers]
      .filter(([, held]) => held.lapsesAtMs !== undefined && held.lapsesAtMs <= nowMs)
      .forEach(([id]) => servers.delete(id));
  }

  function nextIncarnation(registration: ServerRegistration): string {
    lifetimes += 1;
    return `${registration.id}#${registration.startedAtMs ?? 0}#${lifetimes}`;
  }

  function remove(id: ServerId): boolean {
    const held = servers.get(id);
    const lapsesAtMs = options.storeLastUnavailableAtMs() + EXPIRED_ENTRY_GRACE_MS;
    if (held !== undefined && lapsesAtMs > clock.monotonicMs()) {
      held.lapsesAtMs = lapsesAtMs;
      return true;
    }
    return servers.delete(id);
  }

  return {
    get(id) {
      forgetLapsed();
      return servers.get(id)?.state;
    },
    all() {
      forgetLapsed();
      return [...servers.values()].map(({ state }) => state);
    },
    update(id, registration) {
      if (registration === undefined) {
        return remove(id);
      }
      const nowMs = clock.monotonicMs();
      const known = servers.get(id)?.state;
      const sameLifetime = known !== undefined && isSameLifetime(known.registration, registration);
      const toldColdUntilMs =
        registration.coldRemainingMs > 0 ? nowMs + registration.coldRemainingMs : 0;
      const heldColdUntilMs = sameLifetime ? known.coldUntilMs : 0;
      const turnedCold =
        toldColdUntilMs > Math.max(nowMs, heldColdUntilMs) + COLD_TIME_TOLERANCE_MS;
      servers.set(id, {
        lapsesAtMs: undefined,
        state: {
          registration,
          region: options.regionOfZone(registration.zone),
          coldUntilMs: Math.max(toldColdUntilMs, heldColdUntilMs),
          lastHeartbeatAtMs: nowMs,
          incarnation: sameLifetime ? known.incarnation : nextIncarnation(registration),
        },
      });
      return !sameLifetime || known.registration.state !== registration.state || turnedCold;
    },
    recordHeartbeat(id, atMs) {
      const held = servers.get(id);
      if (held !== undefined && held.state.lastHeartbeatAtMs < atMs) {
        held.state = { ...held.state, lastHeartbeatAtMs: atMs };
      }
    },
    recordEvacuationEnd(zone) {
      const coldUntilMs = clock.monotonicMs() + options.coldAfterEvacuationMs();
      servers.forEach((held) => {
        if (held.state.registration.zone === zone) {
          held.state = {
            ...held.state,
            coldUntilMs: Math.max(held.state.coldUntilMs, coldUntilMs),
          };
        }
      });
    },
  };
}

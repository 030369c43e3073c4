import type { Clock, LogSink, MetricsSink, ServerId } from '@camphorbarrow/core';
import { isReplaced } from '../model/isReplaced.js';
import type { ServerRegistration } from '../model/ServerRegistration.js';
import type { ServerState } from '../model/ServerState.js';

/** Time for which a server is remembered after its entry has gone; entries can come back. */
const RETENTION_MS = 600_000;

export interface LeavingServersOptions {
  readonly clock: Clock;
  readonly log: LogSink;
  readonly metrics: MetricsSink;
}

/** Servers that accept no further requests because they are about to stop. */
export interface LeavingServers {
  /** Records that a response of the server said that the server is leaving. */
  recordResponse(server: ServerState, status: number): void;
  /**
   * Whether the server's entry or one of its responses says that it is leaving. A response counts
   * until the server starts again, whatever its entry says: the entry may be outdated.
   */
  isLeaving(server: ServerState): boolean;
  /** Drops the records of servers that have long been gone. */
  retain(servers: readonly ServerState[]): void;
}

interface Departure {
  readonly registration: ServerRegistration;
  lastResponseAtMs: number;
}

/** Creates the record without any leaving servers. */
export function createLeavingServers(options: LeavingServersOptions): LeavingServers {
  const { clock, log, metrics } = options;
  const departures = new Map<ServerId, Departure>();

  function departureOf({ registration }: ServerState): Departure | undefined {
    const departure = departures.get(registration.id);
    return departure === undefined || isReplaced(departure.registration, registration)
      ? undefined
      : departure;
  }

  return {
    recordResponse(server, status) {
      const { registration } = server;
      const lastResponseAtMs = clock.monotonicMs();
      const known = departureOf(server);
      if (known !== undefined) {
        known.lastResponseAtMs = lastResponseAtMs;
        return;
      }
      departures.set(registration.id, { registration, lastResponseAtMs });
      log.info('server-leaving', {
        serverId: registration.id,
        startedAtMs: registration.startedAtMs,
        status,
        entryState: registration.state,
        sequence: registration.sequence,
      });
      metrics.increment('server_departures', { service: registration.service });
    },
    isLeaving: (server) =>
      server.registration.state === 'draining' || departureOf(server) !== undefined,
    retain(servers) {
      const nowMs = clock.monotonicMs();
      const leaving = new Set(
        servers
          .filter((server) => departureOf(server) !== undefined)
          .map(({ registration: { id } }) => id),
      );
      [...departures]
        .filter(
          ([id, { lastResponseAtMs }]) =>
            !leaving.has(id) && nowMs - lastResponseAtMs > RETENTION_MS,
        )
        .forEach(([id]) => departures.delete(id));
    },
  };
}

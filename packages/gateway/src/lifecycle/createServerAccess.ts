import type { Clock, LogSink, MetricsSink } from '@camphorbarrow/core';
import type { GatewayContext } from '../exchange/GatewayContext.js';
import type { FleetView } from '../fleet/createFleetView.js';
import { memoizeLatest } from '../fleet/memoizeLatest.js';
import { createConcurrencyShares } from '../limits/createConcurrencyShares.js';
import { createLeavingServers } from '../limits/createLeavingServers.js';
import { createRejectionLimits } from '../limits/createRejectionLimits.js';
import { createServerLimits } from '../limits/createServerLimits.js';
import { createServerPauses } from '../limits/createServerPauses.js';
import { createServerRateLimiter } from '../limits/createServerRateLimiter.js';
import type { HostRegistration } from '../model/HostRegistration.js';
import type { ServerState } from '../model/ServerState.js';
import type { PeerRegistry } from '../peers/createPeerRegistry.js';
import { createConnectionPools } from '../upstream/createConnectionPools.js';
import { createNeighbourEvidence } from '../upstream/createNeighbourEvidence.js';
import { createServerLinks } from '../upstream/createServerLinks.js';
import { tryConnect } from '../upstream/tryConnect.js';
import type { ServerEstimates } from './createServerEstimates.js';

/** Idle timeout of connections to servers that announce none. */
const SERVER_IDLE_TIMEOUT_MS = 4_000;

export interface ServerAccessOptions extends Pick<ServerEstimates, 'loads' | 'health'> {
  readonly clock: Clock;
  readonly log: LogSink;
  readonly metrics: MetricsSink;
  readonly own: HostRegistration;
  readonly peers: PeerRegistry;
  readonly view: FleetView;
}

/** Connections to the servers of this region, and the limits on what this host may send them. */
export type ServerAccess = Pick<
  GatewayContext,
  | 'serverLimits'
  | 'leavingServers'
  | 'serverPauses'
  | 'rejectionLimits'
  | 'concurrencyShares'
  | 'serverRateLimiter'
  | 'serverConnections'
  | 'serverLinks'
  | 'mayCallServer'
>;

export interface ServerAccessParts {
  readonly access: ServerAccess;
  /** Takes a server's turn for a call that serves no caller, if the server may get one now. */
  readonly takeTurn: (server: ServerState) => boolean;
}

/** Creates the links, connections and limits of the servers. */
export function createServerAccess(options: ServerAccessOptions): ServerAccessParts {
  const { clock, log, metrics, own, peers, view, loads, health } = options;
  const { region } = own;
  const serverLimits = createServerLimits({ clock, log, metrics });
  const leavingServers = createLeavingServers({ clock, log, metrics });
  const serverPauses = createServerPauses({ clock, log, metrics });
  const rejectionLimits = createRejectionLimits({ clock, log, metrics });
  const regionHosts = memoizeLatest(view.hosts, (registered) =>
    registered.filter((host) => host.region === region).map(({ id }) => id),
  );
  const concurrencyShares = createConcurrencyShares({
    clock,
    log,
    metrics,
    ownId: own.id,
    regionHosts,
    loads,
    limitOf: rejectionLimits.limitOf,
  });
  const serverRateLimiter = createServerRateLimiter({
    clock,
    ownId: own.id,
    regionHosts,
    limitOf: serverLimits.limitOf,
    onLimitedSend(send) {
      const viewAgeMs = Math.round(clock.monotonicMs() - view.confirmedAtMs());
      log.info('rate-limited-send', { ...send, viewAgeMs });
      metrics.increment('rate_limited_sends', {
        limit: send.limit,
        source: send.coldSource ?? 'response',
      });
    },
  });
  const serverConnections = createConnectionPools(SERVER_IDLE_TIMEOUT_MS);
  const hasNeighbourReached = createNeighbourEvidence(() => peers.aliveIn(region));
  const serverLinks = createServerLinks({
    clock,
    log,
    metrics,
    servers: () => view.servers.all().filter((server) => server.region === region),
    connect: tryConnect,
    onRestored(server, { failedAtMs, wasCutOff }) {
      if (!wasCutOff || !hasNeighbourReached(server, failedAtMs)) {
        health.recordPossibleLoss(server.incarnation, failedAtMs);
      }
    },
    hasIdleConnection: ({ incarnation }) => serverConnections.hasIdle(incarnation),
  });
  const isAvailable = (server: ServerState): boolean =>
    serverLinks.isOpen(server) &&
    !leavingServers.isLeaving(server) &&
    serverPauses.remainingMs(server) === 0;

  return {
    access: {
      serverLimits,
      leavingServers,
      serverPauses,
      rejectionLimits,
      concurrencyShares,
      serverRateLimiter,
      serverConnections,
      serverLinks,
      mayCallServer: (server) => isAvailable(server) && serverLimits.limitOf(server) === undefined,
    },
    takeTurn(server) {
      const hasTurn = isAvailable(server) && serverRateLimiter.permits(server, 0);
      if (hasTurn) {
        serverRateLimiter.recordSend(server);
      }
      return hasTurn;
    },
  };
}

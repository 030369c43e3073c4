import type { Clock, MetricsSink } from '@camphorbarrow/core';
import type { GatewayContext } from '../exchange/GatewayContext.js';
import type { FleetView } from '../fleet/createFleetView.js';
import type { ConnectionMemory } from '../ingress/createConnectionMemory.js';
import type { CallerLimits } from '../model/CallerLimits.js';
import type { ServiceSpec } from '../model/ServiceSpec.js';
import type { PeerRegistry } from '../peers/createPeerRegistry.js';
import { measureLoadSpread } from '../routing/measureLoadSpread.js';
import type { ServerView } from '../routing/createServerView.js';
import { formatEndpoint } from '../upstream/createConnectionPools.js';

export interface HousekeepingOptions {
  readonly clock: Clock;
  readonly metrics: MetricsSink;
  readonly context: GatewayContext;
  readonly view: FleetView;
  readonly peers: PeerRegistry;
  readonly serverView: Pick<ServerView, 'usable'>;
  readonly connectionMemory: Pick<ConnectionMemory, 'heldBytes'>;
  /** Number of requests in flight. */
  readonly inFlight: () => number;
  /** Applies the limits of the configuration in force to callers' connections. */
  readonly applyLimits: (limits: CallerLimits) => void;
  /** Reports what this host lacks to be ready. */
  readonly reportReadiness: () => void;
}

/** Creates the periodic work that reports gauges and drops state of removed servers and peers. */
export function createHousekeeping(options: HousekeepingOptions): () => void {
  const { clock, metrics, context, view, peers } = options;
  const {
    loads,
    unseenSends,
    speeds,
    health,
    prefixes,
    crashGuard,
    serverRateLimiter,
    paces,
    serverLinks,
    serverStarts,
  } = context;

  function reportLoadSpread(service: ServiceSpec): void {
    const tags = { service: service.name };
    const usable = options.serverView.usable(service);
    const spreadRatio = measureLoadSpread(usable, loads);
    const excessRatios = context.outcomes.excessFailureRatios(
      usable.map(({ registration }) => registration.id),
    );
    metrics.gauge('server_load_spread_ratio', spreadRatio, tags);
    metrics.gauge('server_failure_excess_ratio', Math.max(0, ...excessRatios.values()), tags);
    metrics.gauge('unseen_requests', unseenSends.expected(service.name), tags);
  }

  return () => {
    const table = view.table();
    if (table !== undefined) {
      options.applyLimits(table.limits);
    }
    options.reportReadiness();
    metrics.gauge('configuration_version', Number(table?.version ?? 0));
    metrics.gauge('store_era', Number(view.position().era));
    metrics.gauge('store_revision', Number(view.position().revision));
    metrics.gauge('in_flight', options.inFlight());
    metrics.gauge('request_head_bytes', options.connectionMemory.heldBytes());
    metrics.gauge('request_body_bytes', context.requestBodies.heldBytes());
    metrics.gauge('peers_reachable', peers.alive().length);
    metrics.gauge('store_age_ms', clock.monotonicMs() - view.confirmedAtMs());
    metrics.gauge('peer_view_age_ms', unseenSends.viewAgeMs());
    table?.services.forEach(reportLoadSpread);
    const servers = view.servers.all();
    const incarnations = new Set(servers.map(({ incarnation }) => incarnation));
    [speeds, health, prefixes, crashGuard, serverRateLimiter, serverLinks, serverStarts].forEach(
      (tracker) => tracker.retain(incarnations),
    );
    context.serverLimits.retain(servers);
    context.rejectionLimits.retain(servers);
    context.concurrencyShares.retain(servers);
    context.leavingServers.retain(servers);
    context.serverPauses.endElapsed();
    const serverIds = new Set(servers.map(({ registration }) => registration.id));
    paces.retain(serverIds);
    context.outcomes.retain(serverIds);
    context.serverConnections.retain(incarnations);
    context.peerConnections.retain(
      new Set(peers.known().map(({ heartbeat }) => formatEndpoint(heartbeat.host.peers))),
    );
  };
}

import type { Clock, RegionId } from '@camphorbarrow/core';
import type { FleetView } from '../fleet/createFleetView.js';
import type { ServerState } from '../model/ServerState.js';
import type { ServiceName } from '../model/ServiceName.js';
import type { ServiceSpec } from '../model/ServiceSpec.js';
import type { SoftwareVersion } from '../model/SoftwareVersion.js';
import type { ConcurrencyShares } from '../limits/createConcurrencyShares.js';
import type { LeavingServers } from '../limits/createLeavingServers.js';
import type { ServerLimits } from '../limits/createServerLimits.js';
import type { ServerPauses } from '../limits/createServerPauses.js';
import type { RegionCapacity } from '../peers/PeerHeartbeat.js';
import type { ServerLinks } from '../upstream/createServerLinks.js';
import type { LocalRejection } from './Destination.js';
import type { LoadTracker } from './createLoadTracker.js';
import type { PaceTracker } from './createPaceTracker.js';
import type { ServerHealth } from './createServerHealth.js';
import type { SpeedTracker } from './createSpeedTracker.js';
import { hasVersion } from './hasVersion.js';

/** Delay of the first event on an engine for each request that it runs. */
const MS_PER_RUNNING_REQUEST = 2;
/** Time for which a request occupies a slot, to estimate the wait at a full engine. */
const SLOT_HOLD_MS = 1_500;
/**
 * Number of events by which the pace of a server counts when the best one of a region is chosen. A
 * server that prefills long prompts all the time has few requests waiting but a slow pace, and would
 * stand for a region whose other servers are fast.
 */
const COMPARED_EVENTS = 12;
/** Rank for which the wait is reported to peers: the least urgent one, which waits longest. */
const CAPACITY_RANK = 9;

export interface ServerViewOptions {
  readonly clock: Clock;
  readonly region: RegionId;
  readonly view: FleetView;
  readonly loads: LoadTracker;
  readonly speeds: SpeedTracker;
  readonly paces: PaceTracker;
  readonly health: ServerHealth;
  readonly serverLinks: Pick<ServerLinks, 'canSend' | 'isOpen'>;
  readonly serverLimits: Pick<ServerLimits, 'limitOf'>;
  readonly concurrencyShares: Pick<ConcurrencyShares, 'permits'>;
  readonly leavingServers: Pick<LeavingServers, 'isLeaving'>;
  readonly serverPauses: Pick<ServerPauses, 'remainingMs'>;
  /** Whether a later process responds at the server's address, whose version is not known. */
  readonly isReplaced: (server: ServerState) => boolean;
}

/** Servers of this region, as the router sees them. */
export interface ServerView {
  /**
   * Servers of the service that can receive requests, including cold ones.
   *
   * @param isVersionNeeded whether to leave out servers whose version is not known, if there are others
   */
  usable(
    service: ServiceSpec,
    version?: SoftwareVersion,
    isVersionNeeded?: boolean,
  ): readonly ServerState[];
  /** Why a service has no usable server, or none of the version. */
  rejection(service: ServiceSpec, version?: SoftwareVersion): LocalRejection;
  /** Estimated wait for the work already queued at the server. */
  queueMs(server: ServerState, service: ServiceSpec, rank: number): number;
  /** Part of `queueMs` that each running request causes while slots are free. */
  msPerRunning(server: ServerState, service: ServiceSpec): number;
  /** Estimated capacity of this region per service, for heartbeats. */
  capacity(): ReadonlyMap<ServiceName, RegionCapacity>;
  /** Running requests per slot in the latest capacity that was sent; 0 before the first one. */
  slotUsageRatio(service: ServiceName): number;
}

type ServerPace = Pick<RegionCapacity, 'queueMs' | 'msPerEvent'>;

interface MeasuredServer extends ServerPace {
  readonly server: ServerState;
}

/** Time by which the servers of a region are compared. */
const comparedMs = ({ queueMs, msPerEvent }: ServerPace): number =>
  queueMs + COMPARED_EVENTS * msPerEvent;

const fasterOf = (known: MeasuredServer | undefined, next: MeasuredServer): MeasuredServer =>
  known === undefined || comparedMs(next) < comparedMs(known) ? next : known;

/** Creates the view from the state of the fleet and the observations of this host. */
export function createServerView(options: ServerViewOptions): ServerView {
  const { clock, view, loads, speeds, paces, health, leavingServers, serverPauses } = options;
  let latestCapacity: ReadonlyMap<ServiceName, RegionCapacity> = new Map();

  /** Servers of the service in zones that may get requests. */
  const listed = (service: ServiceSpec, version?: SoftwareVersion): readonly ServerState[] =>
    view.servers
      .ofService(service.name, options.region)
      .filter(
        (server) =>
          (version === undefined ||
            (server.registration.softwareVersion === version && !options.isReplaced(server))) &&
          !view.isEvacuated(server.registration.zone),
      );

  /** Servers of the service that are reachable from here, including leaving and paused ones. */
  function reachable(service: ServiceSpec, version?: SoftwareVersion): readonly ServerState[] {
    const servers: ServerState[] = [];
    listed(service, version).forEach((server) => {
      if (options.serverLinks.canSend(server) && health.isReachable(server)) {
        const coldUntilMs = health.coldUntilMs(server, service.coldStartMs);
        servers.push(
          coldUntilMs > server.coldUntilMs
            ? { ...server, coldUntilMs, coldSource: 'loss' }
            : server,
        );
      }
    });
    return servers;
  }

  const msPerRunning = (server: ServerState, service: ServiceSpec): number =>
    service.kvCapacityTokens === undefined
      ? (speeds.callMs(server.incarnation) * loads.slowdownRatio(server.registration.id)) /
        Math.max(1, server.registration.slots)
      : MS_PER_RUNNING_REQUEST;

  function queueMs(server: ServerState, service: ServiceSpec, rank: number): number {
    const { id, slots } = server.registration;
    const running = loads.running(id);
    const excess = Math.max(0, running - slots + 1) / Math.max(1, slots);
    const slowdownRatio = loads.slowdownRatio(id);
    if (service.kvCapacityTokens === undefined) {
      const callMs = speeds.callMs(server.incarnation) * slowdownRatio;
      return callMs * (excess + running / Math.max(1, slots));
    }
    return (
      loads.tokensAhead(id, rank) * speeds.prefillMsPerToken(server.incarnation) * slowdownRatio +
      running * MS_PER_RUNNING_REQUEST +
      excess * SLOT_HOLD_MS
    );
  }

  function usable(
    service: ServiceSpec,
    version?: SoftwareVersion,
    isVersionNeeded = false,
  ): readonly ServerState[] {
    const servers = reachable(service, version).filter(
      (server) => !leavingServers.isLeaving(server) && serverPauses.remainingMs(server) === 0,
    );
    if (!isVersionNeeded || version !== undefined) {
      return servers;
    }
    const known = servers.filter((server) => !options.isReplaced(server));
    return known.length > 0 ? known : servers;
  }

  function rejection(service: ServiceSpec, version?: SoftwareVersion): LocalRejection {
    if (version !== undefined && !hasVersion(view.servers.all(), service.name, version)) {
      return { kind: 'none', reason: 'version-gone' };
    }
    const servers = reachable(service, version);
    const staying = servers.filter((server) => !leavingServers.isLeaving(server));
    if (staying.length > 0) {
      const retryAfterMs = Math.min(...staying.map(serverPauses.remainingMs));
      return { kind: 'none', reason: 'servers-paused', retryAfterMs };
    }
    const unreached = listed(service, version);
    if (unreached.some((server) => !leavingServers.isLeaving(server))) {
      return { kind: 'none', reason: 'unreachable' };
    }
    return { kind: 'none', reason: unreached.length === 0 ? 'no-server' : 'servers-leaving' };
  }

  /** Computed for each round of heartbeats, so it passes over the servers once. */
  function capacityOf(service: ServiceSpec): RegionCapacity | undefined {
    const nowMs = clock.monotonicMs();
    let best: MeasuredServer | undefined;
    let bestLimited: MeasuredServer | undefined;
    let usableServers = 0;
    let slots = 0;
    let runningOfAll = 0;
    usable(service).forEach((server) => {
      // Connections that are left while new ones are refused are few.
      if (!options.serverLinks.isOpen(server)) {
        return;
      }
      const { registration, incarnation } = server;
      const waitMs = queueMs(server, service, CAPACITY_RANK) + health.penaltyMs(incarnation);
      const candidate = { server, queueMs: waitMs, msPerEvent: paces.msPerEvent(registration.id) };
      const isCold = service.coldRequestsPerSecond > 0 && server.coldUntilMs > nowMs;
      // Servers that accept only a limited rate are left to the callers of this region.
      if (
        isCold ||
        options.serverLimits.limitOf(server) !== undefined ||
        !options.concurrencyShares.permits(server)
      ) {
        bestLimited = fasterOf(bestLimited, candidate);
        return;
      }
      usableServers += 1;
      slots += registration.slots;
      runningOfAll += loads.running(registration.id);
      best = fasterOf(best, candidate);
    });
    const representative = best ?? bestLimited;
    if (representative === undefined) {
      return undefined;
    }
    const { registration, incarnation } = representative.server;
    return {
      msPerEvent: representative.msPerEvent,
      running: loads.running(registration.id),
      queueMs: representative.queueMs,
      msPerToken:
        service.kvCapacityTokens === undefined ? 0 : speeds.prefillMsPerToken(incarnation),
      usableServers,
      slotUsageRatio: runningOfAll / Math.max(1, slots),
    };
  }

  return {
    usable,
    rejection,
    queueMs,
    msPerRunning,
    capacity() {
      const services = [...(view.table()?.services.values() ?? [])];
      latestCapacity = new Map(
        services.flatMap((service) => {
          const capacity = capacityOf(service);
          return capacity === undefined ? [] : [[service.name, capacity] as const];
        }),
      );
      return latestCapacity;
    },
    slotUsageRatio: (service) => latestCapacity.get(service)?.slotUsageRatio ?? 0,
  };
}

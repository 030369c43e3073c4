import type { CrashReport } from '@camphorbarrow/core';
import type { SharedAllowances } from '../allowances/createSharedAllowances.js';
import type { GatewayContext } from '../exchange/GatewayContext.js';
import type { FleetView } from '../fleet/createFleetView.js';
import { lifetimeId } from '../model/lifetimeId.js';
import { createHeartbeats } from '../peers/createHeartbeats.js';
import type { Heartbeats } from '../peers/createHeartbeats.js';
import { createPacedSend } from '../peers/createPacedSend.js';
import type { PeerRegistry } from '../peers/createPeerRegistry.js';
import type { HostState } from '../peers/PeerHeartbeat.js';
import { HEARTBEAT_INTERVAL_MS } from '../peers/reportRounds.js';
import type { ServerView } from '../routing/createServerView.js';
import type { DrainState } from './createDrainState.js';
import type { EntryHostOptions } from './EntryHostOptions.js';

/** Rate of heartbeats to all hosts after crashes: a fifth of a link of 10 Mbit/s. */
const URGENT_BYTES_PER_SECOND = 250_000;
/** Maximum pause between them; a crash is reported for 3 s only. */
const MAX_URGENT_PAUSE_MS = 2_000;

export interface HostHeartbeatsOptions extends Pick<
  EntryHostOptions,
  'clock' | 'log' | 'metrics' | 'own' | 'seeds'
> {
  readonly context: GatewayContext;
  readonly ownIncarnation: string;
  readonly peers: PeerRegistry;
  readonly view: FleetView;
  readonly serverView: ServerView;
  readonly allowances: SharedAllowances;
  readonly drain: Pick<DrainState, 'closesInMs'>;
  readonly currentState: () => HostState;
  /** Ends pending reports of crashes and trials. */
  readonly signal: AbortSignal;
}

/**
 * Starts the heartbeats of an entry host: they tell its state and load, and what it has learned of
 * servers and requests, which the state of the host takes over from the heartbeats of others.
 */
export function startHostHeartbeats(options: HostHeartbeatsOptions): Heartbeats {
  const { clock, log, own, context, peers, view, drain } = options;
  const { loads, paces, crashGuard } = context;

  /** Applies the end of a process that another host has seen, while its entry is still the same. */
  function recordServerEnd({ serverId, incarnation, ageMs = 0 }: CrashReport): void {
    const server = view.servers.get(serverId);
    if (server !== undefined && lifetimeId(server.registration) === incarnation) {
      context.health.recordEnd(server.incarnation, clock.monotonicMs() - ageMs);
    }
  }

  const heartbeats = createHeartbeats({
    clock,
    log,
    own,
    peers,
    registeredHosts: view.hosts,
    seeds: options.seeds,
    buildHeartbeat: () => ({
      host: own,
      incarnation: options.ownIncarnation,
      sentAtMs: clock.monotonicMs(),
      state: options.currentState(),
      closesInMs: drain.closesInMs(),
      storePosition: view.position(),
      configurationVersion: view.table()?.version ?? 0,
      loads: loads.ownLoads(),
      paces: paces.ownPaces(),
      outcomes: context.outcomes.ownOutcomes(),
      capacity: options.serverView.capacity(),
      crashes: crashGuard.reports(),
      partEvidence: context.partSuspicion.evidence(),
      partTrials: context.partTrials.running(),
      serverLimits: context.serverLimits.reports(),
      rejectionLimits: context.rejectionLimits.reports(),
      versions: context.streamVersions.reports(),
      knowsVersions: context.streamVersions.knowsVersions(),
    }),
    ownPartEvidence: () => context.partSuspicion.evidence('own'),
    onDatagram: (datagram) =>
      context.streamVersions.receive(datagram) || options.allowances.receive(datagram),
    onHeartbeat(heartbeat) {
      peers.recordHeartbeat(heartbeat);
      context.transits.recordHeartbeat(heartbeat);
      context.partSuspicion.merge(heartbeat.partEvidence);
      context.partTrials.recordPeer(heartbeat.host.id, heartbeat.partTrials);
      crashGuard.mergeReports(heartbeat.crashes);
      heartbeat.crashes.forEach(recordServerEnd);
      context.streamVersions.mergeReports(heartbeat.versions ?? []);
      if (heartbeat.host.region === own.region) {
        context.serverLimits.mergeReports(heartbeat.serverLimits);
        context.rejectionLimits.mergeReports(heartbeat.rejectionLimits ?? []);
      }
    },
    onSent({ receivers, totalBytes, isUrgent }) {
      const type = isUrgent ? 'urgent' : 'regular';
      options.metrics.gauge('heartbeat_bytes', totalBytes / Math.max(1, receivers), { type });
      if (isUrgent) {
        options.metrics.increment('urgent_heartbeats');
        log.info('urgent-heartbeats', { receivers, totalBytes });
      }
    },
    intervalMs: HEARTBEAT_INTERVAL_MS,
  });
  context.streamVersions.useTransport(heartbeats.send);
  options.allowances.useTransport(heartbeats.send);
  // The attempt that reports a crash or starts a trial goes on without them.
  const reportSoon = createPacedSend({
    clock,
    log,
    bytesPerSecond: URGENT_BYTES_PER_SECOND,
    maxPauseMs: MAX_URGENT_PAUSE_MS,
    send: heartbeats.sendToAll,
    signal: options.signal,
  });
  crashGuard.onCrash(reportSoon);
  context.partTrials.onStart(reportSoon);
  return heartbeats;
}

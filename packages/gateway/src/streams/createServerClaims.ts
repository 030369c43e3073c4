import type { Socket } from 'node:net';
import type { Clock, LogSink, MetricsSink } from '@camphorbarrow/core';
import type { FleetView } from '../fleet/createFleetView.js';
import type { ServerState } from '../model/ServerState.js';
import type { ServerStart, ServerStarts } from './createServerStarts.js';
import { STREAM_RETENTION_MS } from './streamRetention.js';
import type { ResponseVersion, VersionClaim } from './VersionClaim.js';

const POLL_INTERVAL_MS = 50;
/** Reports that are asked for while a stream waits: one may be lost or late. */
const MAX_REPORTS = 2;
/** Time after which a server that has sent no report is asked again. */
const REPORT_INTERVAL_MS = 500;
/**
 * Heartbeats after the one that was known when the connection was opened. That one may be older than
 * the next, and the process that accepted the connection has written the one after.
 */
const CONFIRMING_HEARTBEATS = 2;
/** Longest wait for a decision, in heartbeat intervals. */
const MAX_CONFIRMATION_INTERVALS = 2;
/** The same read of the store, which several peers tell, is not taken for two. */
const MIN_READ_INTERVAL_MS = 50;

export interface ServerClaimsOptions {
  readonly clock: Clock;
  readonly log: LogSink;
  readonly metrics: MetricsSink;
  readonly view: Pick<FleetView, 'servers' | 'confirmedAtMs'>;
  readonly starts: Pick<ServerStarts, 'read'>;
  /** Interval of the servers' heartbeats. */
  readonly heartbeatMs: () => number;
}

/**
 * Knows which software version is at the other end of a connection. A server can start again under its
 * id and address with another version; until the entry of the new process arrives, its connections look
 * like those of the earlier one.
 */
export interface ServerClaims {
  /** Records that a connection to the server has been established. */
  recordConnection(server: ServerState, socket: Socket): void;
  /** Asks the server in the background which process is at the other end, unless that is known. */
  verifyConnection(server: ServerState, socket: Socket): void;
  /** Start that the server told while a connection was open, if its entry named another one. */
  reportedStartOn(server: ServerState, socket: Socket): ReportedStart | undefined;
  /** Version that responds on a connection to the server. */
  versionOn(server: ServerState, socket: Socket): ResponseVersion;
  /**
   * Finds out whether a claim is true. Asks the server if that is possible, and otherwise waits for its
   * heartbeats. Resolves with false if the claim is refuted, if nothing decides it within two heartbeat
   * intervals, or if the signal aborts.
   */
  confirm(claim: VersionClaim, signal: AbortSignal): Promise<boolean>;
  /** Has `update` decide on a claim of another host. */
  observe(claim: VersionClaim): void;
  isConfirmed(claim: VersionClaim): boolean;
  isRefuted(claim: VersionClaim): boolean;
  /** Records that another host has confirmed the claim. */
  accept(claim: VersionClaim): void;
  /** Decides open claims by the entries of their servers; must be called regularly. */
  update(): void;
}

/** Start of a process by its own report. */
export interface ReportedStart {
  /** Process start in ms since the Unix epoch. */
  readonly startedAtMs: number;
  /** Monotonic time at which the report had arrived. */
  readonly toldAtMs: number;
}

type Verdict = 'confirmed' | 'refuted';
/** What decided a claim: entries of the store, a report of the server, or another host. */
type Evidence = 'store' | 'report' | 'peer';

/** What this host has read of the store since the connection of a claim was opened. */
interface Readings {
  firstAtMs?: number;
  secondAtMs?: number;
  /** Sequence number of the server's entry at the second reading. */
  sequence?: number;
}

/** Creates the knowledge of one host. */
export function createServerClaims(options: ServerClaimsOptions): ServerClaims {
  const { clock, log, metrics, view, starts } = options;
  const claims = new WeakMap<Socket, VersionClaim>();
  const verdicts = new WeakMap<VersionClaim, Verdict>();
  const openClaims = new Map<VersionClaim, Readings>();
  const reportedStarts = new WeakMap<VersionClaim, ReportedStart>();

  const isConfirmed = (claim: VersionClaim): boolean => verdicts.get(claim) === 'confirmed';

  function settle(claim: VersionClaim, verdict: Verdict, evidence: Evidence): void {
    openClaims.delete(claim);
    verdicts.set(claim, verdict);
    metrics.increment('version_claims', { verdict, evidence });
    if (verdict === 'refuted') {
      const { server, version, startedAtMs } = claim;
      log.warn('server-version-refuted', { serverId: server, version, startedAtMs, evidence });
    }
  }

  /** Whether the process has written a heartbeat since the connection of the claim was opened. */
  function hasWritten(claim: VersionClaim, readings: Readings, sequence: number): boolean {
    const { connectedAtMs, confirmingSequence } = claim;
    const readAtMs = view.confirmedAtMs();
    if (readings.secondAtMs !== undefined) {
      return sequence >= confirmingSequence && sequence > (readings.sequence ?? Infinity);
    }
    if (readings.firstAtMs === undefined) {
      if (readAtMs > connectedAtMs) {
        readings.firstAtMs = readAtMs;
      }
    } else if (readAtMs >= readings.firstAtMs + MIN_READ_INTERVAL_MS) {
      // The first one may have waited for this host, with heartbeats from before the connection.
      readings.secondAtMs = readAtMs;
      readings.sequence = sequence;
    }
    return false;
  }

  /**
   * Decides by the entry of the server. Only a heartbeat that the process has written since the connection
   * was opened confirms the claim: the entry of a process that has ended stays for a while. One of a
   * later process refutes it, whatever its version: there may have been others in between.
   */
  function judge(claim: VersionClaim, readings: Readings): void {
    const listed = view.servers.get(claim.server)?.registration;
    if (listed === undefined) {
      return;
    }
    if (listed.softwareVersion !== claim.version || listed.startedAtMs !== claim.startedAtMs) {
      settle(claim, 'refuted', 'store');
    } else if (hasWritten(claim, readings, listed.sequence)) {
      settle(claim, 'confirmed', 'store');
    }
  }

  function openClaim(claim: VersionClaim): void {
    if (!verdicts.has(claim) && !openClaims.has(claim)) {
      openClaims.set(claim, {});
    }
  }

  function claimOn({ registration }: ServerState, socket: Socket): VersionClaim {
    const viewAgeMs = Math.max(0, clock.monotonicMs() - view.confirmedAtMs());
    const unseenHeartbeats = Number.isFinite(viewAgeMs)
      ? Math.floor(viewAgeMs / options.heartbeatMs())
      : 0;
    const claim = claims.get(socket) ?? {
      server: registration.id,
      version: registration.softwareVersion,
      startedAtMs: registration.startedAtMs,
      confirmingSequence: registration.sequence + CONFIRMING_HEARTBEATS + unseenHeartbeats,
      connectedAtMs: clock.monotonicMs(),
    };
    claims.set(socket, claim);
    openClaim(claim);
    return claim;
  }

  /** Decides the claims on connections that were open when the server was asked. */
  function applyStart(server: ServerState, { startedAtMs, askedAtMs }: ServerStart): void {
    const { id } = server.registration;
    [...openClaims.keys()]
      .filter((claim) => claim.server === id && claim.connectedAtMs <= askedAtMs)
      .forEach((claim) => {
        if (claim.startedAtMs !== startedAtMs) {
          reportedStarts.set(claim, { startedAtMs, toldAtMs: clock.monotonicMs() });
        }
        settle(claim, claim.startedAtMs === startedAtMs ? 'confirmed' : 'refuted', 'report');
      });
  }

  /** Asks the server, if it can be asked. */
  async function askServer(claim: VersionClaim, isNeeded: boolean): Promise<void> {
    const server = view.servers.get(claim.server);
    if (server === undefined || claim.startedAtMs === undefined) {
      return;
    }
    const start = await starts.read(server, {
      connectedAtMs: claim.connectedAtMs,
      isNeeded,
      onConnection: (socket) => claimOn(server, socket).connectedAtMs,
    });
    if (start !== undefined) {
      applyStart(server, start);
    }
  }

  function isOpen(claim: VersionClaim): boolean {
    const readings = openClaims.get(claim);
    if (readings !== undefined) {
      judge(claim, readings);
    }
    return openClaims.has(claim);
  }

  async function confirm(claim: VersionClaim, signal: AbortSignal): Promise<boolean> {
    const endMs = clock.monotonicMs() + MAX_CONFIRMATION_INTERVALS * options.heartbeatMs();
    let reports = 0;
    let askedAtMs = -Infinity;
    openClaim(claim);
    while (isOpen(claim) && clock.monotonicMs() < endMs && !signal.aborted) {
      if (reports < MAX_REPORTS && clock.monotonicMs() - askedAtMs >= REPORT_INTERVAL_MS) {
        reports += 1;
        askedAtMs = clock.monotonicMs();
        await askServer(claim, true);
      } else {
        await clock.sleep(POLL_INTERVAL_MS, signal).catch(() => undefined);
      }
    }
    return isConfirmed(claim);
  }

  return {
    recordConnection(server, socket) {
      claimOn(server, socket);
    },
    verifyConnection(server, socket) {
      const claim = claimOn(server, socket);
      if (openClaims.has(claim)) {
        void askServer(claim, false);
      }
    },
    reportedStartOn: (server, socket) => reportedStarts.get(claimOn(server, socket)),
    versionOn(server, socket) {
      const claim = claimOn(server, socket);
      return { version: claim.version, claim: isConfirmed(claim) ? undefined : claim };
    },
    confirm,
    observe: openClaim,
    isConfirmed,
    isRefuted: (claim) => verdicts.get(claim) === 'refuted',
    accept(claim) {
      if (!verdicts.has(claim)) {
        settle(claim, 'confirmed', 'peer');
      }
    },
    update() {
      openClaims.forEach((readings, claim) => {
        judge(claim, readings);
        if (clock.monotonicMs() - claim.connectedAtMs > STREAM_RETENTION_MS) {
          openClaims.delete(claim);
        }
      });
    },
  };
}

import type { Clock, LogSink, MetricsSink, ServerId } from '@camphorbarrow/core';
import { isReplaced } from '../model/isReplaced.js';
import type { ServerRegistration } from '../model/ServerRegistration.js';
import type { ServerState } from '../model/ServerState.js';

/** Longest pause; a server that asks for more is asked again, so that a wrong value passes. */
const MAX_PAUSE_MS = 600_000;

export interface ServerPausesOptions {
  readonly clock: Clock;
  readonly log: LogSink;
  readonly metrics: MetricsSink;
}

/** Pauses that servers ask of this host. */
export interface ServerPauses {
  /**
   * Records that the server rejected a request and asked this host to send nothing for a time. A
   * later rejection does not shorten the pause.
   */
  recordRejection(server: ServerState, rejection: PausingRejection): void;
  /** Time until this host may send requests to the server again; 0 if it may now. */
  remainingMs(server: ServerState): number;
  /** Ends the pauses that are over. */
  endElapsed(): void;
}

export interface PausingRejection {
  readonly status: number;
  readonly retryAfterMs: number;
}

interface Pause {
  readonly registration: ServerRegistration;
  readonly endsAtMs: number;
}

/** Creates the record without any pauses. */
export function createServerPauses(options: ServerPausesOptions): ServerPauses {
  const { clock, log, metrics } = options;
  const pauses = new Map<ServerId, Pause>();

  function remainingMs({ registration }: ServerState): number {
    const pause = pauses.get(registration.id);
    return pause === undefined || isReplaced(pause.registration, registration)
      ? 0
      : Math.max(0, pause.endsAtMs - clock.monotonicMs());
  }

  return {
    recordRejection(server, { status, retryAfterMs }) {
      const { registration } = server;
      const pauseMs = Math.min(MAX_PAUSE_MS, retryAfterMs);
      const previousMs = remainingMs(server);
      if (pauseMs <= previousMs) {
        return;
      }
      pauses.set(registration.id, { registration, endsAtMs: clock.monotonicMs() + pauseMs });
      log.info('server-paused', {
        serverId: registration.id,
        startedAtMs: registration.startedAtMs,
        status,
        retryAfterMs,
        pauseMs,
        isCut: pauseMs < retryAfterMs,
        previousMs: Math.round(previousMs),
      });
      if (previousMs === 0) {
        metrics.increment('server_pauses', { service: registration.service });
      }
    },
    remainingMs,
    endElapsed() {
      [...pauses]
        .filter(([, { endsAtMs }]) => endsAtMs <= clock.monotonicMs())
        .forEach(([id, { registration }]) => {
          pauses.delete(id);
          log.info('server-pause-ended', { serverId: id, startedAtMs: registration.startedAtMs });
        });
    },
  };
}

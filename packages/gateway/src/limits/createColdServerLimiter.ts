import type { Clock, HostId } from '@camphorbarrow/core';
import type { ServerState } from '../model/ServerState.js';
import { rankByRendezvous } from '../routing/rankByRendezvous.js';

/** Number of entry hosts that may send requests to the same cold server. */
const SENDERS_PER_COLD_SERVER = 2;

export interface ColdServerLimiterOptions {
  readonly clock: Clock;
  readonly ownId: HostId;
  /** Active entry hosts of this region, including this one. */
  readonly regionHosts: () => readonly HostId[];
}

/** Limits the rate of requests to cold servers. */
export interface ColdServerLimiter {
  /** Whether this host may send a request to the server now. */
  permits(server: ServerState, requestsPerSecond: number): boolean;
  /** Records that a request is being sent to the server. */
  recordSend(server: ServerState): void;
}

/**
 * Creates a limiter. Cold servers crash if they receive requests at more than the permitted rate.
 * All entry hosts compute the same two senders for a server, and each of the two uses its share of
 * the rate, so the hosts need not communicate. In any second a server gets at most its rate plus
 * one request per sender.
 */
export function createColdServerLimiter(options: ColdServerLimiterOptions): ColdServerLimiter {
  const { clock } = options;
  const lastSentAtMs = new Map<string, number>();

  return {
    permits(server, requestsPerSecond) {
      const nowMs = clock.monotonicMs();
      if (requestsPerSecond <= 0 || server.coldUntilMs <= nowMs) {
        return true;
      }
      // The first part of an incarnation is the server's id, which is the same on all hosts.
      const senders = rankByRendezvous(server.incarnation.split('#')[0] ?? '', [
        ...options.regionHosts(),
      ]).slice(0, SENDERS_PER_COLD_SERVER);
      const intervalMs = (1_000 * SENDERS_PER_COLD_SERVER) / requestsPerSecond;
      const lastMs = lastSentAtMs.get(server.incarnation) ?? -Infinity;
      return senders.includes(options.ownId) && nowMs - lastMs >= intervalMs;
    },
    recordSend(server) {
      const nowMs = clock.monotonicMs();
      if (server.coldUntilMs > nowMs) {
        lastSentAtMs.set(server.incarnation, nowMs);
      }
    },
  };
}

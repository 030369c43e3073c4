import type { Clock, HostId } from '@camphorbarrow/core';
import type { ServerState } from '../model/ServerState.js';
import { rankByRendezvous } from '../routing/rankByRendezvous.js';

/** Entry hosts that may send to the same cold server. */
const SENDERS_PER_COLD_SERVER = 2;

export interface ColdServerLimiterOptions {
  readonly clock: Clock;
  readonly ownId: HostId;
  /** Entry hosts of this region that are in service, this one included. */
  readonly regionHosts: () => readonly HostId[];
}

export interface ColdServerLimiter {
  /** Whether this host may send one request to the server now. */
  permits(server: ServerState, requestsPerSecond: number): boolean;
  /** A request is being sent to the server. */
  recordSend(server: ServerState): void;
}

/**
 * Creates the limit on requests to cold servers, which crash under more. All entry hosts compute
 * alike which two of them may send to a server, and each of these keeps its share of the rate, so
 * no message is needed. In any second a server gets at most its rate plus one for each sender.
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
      const senders = rankByRendezvous(server.incarnation.split('#')[0] ?? '', [
        ...options.regionHosts(),
      ]).slice(0, SENDERS_PER_COLD_SERVER);
      const spacingMs = (1_000 * SENDERS_PER_COLD_SERVER) / requestsPerSecond;
      const lastMs = lastSentAtMs.get(server.incarnation) ?? -Infinity;
      return senders.includes(options.ownId) && nowMs - lastMs >= spacingMs;
    },
    recordSend(server) {
      const nowMs = clock.monotonicMs();
      if (server.coldUntilMs > nowMs) {
        lastSentAtMs.set(server.incarnation, nowMs);
      }
    },
  };
}

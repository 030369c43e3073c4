import type { Clock, HostId } from '@camphorbarrow/core';
import type { ServerState } from '../model/ServerState.js';
import { rankByRendezvous } from '../routing/rankByRendezvous.js';

/** Number of entry hosts that may send requests to the same cold server. */
const SENDERS_PER_COLD_SERVER = 2;
/** Minimum number of entry hosts that may send requests to a server that named a limit. */
const MIN_SENDERS_PER_LIMITED_SERVER = 2;
/** Rate at which a server with a limit of zero is asked, so that the end of the limit is noticed. */
const MIN_REQUESTS_PER_SECOND = 0.2;

export interface ServerRateLimiterOptions {
  readonly clock: Clock;
  readonly ownId: HostId;
  /** Active entry hosts of this region, including this one. */
  readonly regionHosts: () => readonly HostId[];
  /** Limit that the server named for all hosts together; undefined if there is none. */
  readonly limitOf: (server: ServerState) => number | undefined;
}

/** Limits the rate of requests to servers that are cold or have named a limit. */
export interface ServerRateLimiter {
  /**
   * Whether this host may send a request to the server now.
   *
   * @param coldRequestsPerSecond limit while the server is cold; 0 means none
   */
  permits(server: ServerState, coldRequestsPerSecond: number): boolean;
  /** Records that a request is being sent to the server. */
  recordSend(server: ServerState): void;
  /** Drops the records of all other incarnations. */
  retain(incarnations: ReadonlySet<string>): void;
}

interface SharedRate {
  readonly requestsPerSecond: number;
  /** Number of hosts that share the rate equally. */
  readonly senders: number;
  /** Number of requests that a host may send at once after a pause. */
  readonly burst: number;
}

/** Requests arrive irregularly; without a burst, much of a named limit would stay unused. */
const LIMITED_BURST = 2;
const COLD_BURST = 1;

/**
 * Creates a limiter. All entry hosts compute the same senders for a server, and each of them uses
 * its share of the rate, so the hosts need not communicate. In any period a server gets at most its
 * rate plus one burst per sender.
 */
export function createServerRateLimiter(options: ServerRateLimiterOptions): ServerRateLimiter {
  const { clock } = options;
  /** Times of the latest sends, the latest first. */
  const sentAtMs = new Map<string, readonly number[]>();

  function ratesOf(server: ServerState, coldRequestsPerSecond: number): readonly SharedRate[] {
    const isCold = server.coldUntilMs > clock.monotonicMs() && coldRequestsPerSecond > 0;
    const limit = options.limitOf(server);
    return [
      ...(isCold
        ? [
            {
              requestsPerSecond: coldRequestsPerSecond,
              senders: SENDERS_PER_COLD_SERVER,
              burst: COLD_BURST,
            },
          ]
        : []),
      ...(limit === undefined
        ? []
        : [
            {
              requestsPerSecond: Math.max(MIN_REQUESTS_PER_SECOND, limit),
              senders: Math.max(MIN_SENDERS_PER_LIMITED_SERVER, Math.ceil(limit)),
              burst: LIMITED_BURST,
            },
          ]),
    ];
  }

  return {
    permits(server, coldRequestsPerSecond) {
      const rates = ratesOf(server, coldRequestsPerSecond);
      if (rates.length === 0) {
        return true;
      }
      // The first part of an incarnation is the server's id, which is the same on all hosts.
      const hosts = rankByRendezvous(server.incarnation.split('#')[0] ?? '', options.regionHosts());
      const sends = sentAtMs.get(server.incarnation) ?? [];
      return rates.every(({ requestsPerSecond, senders, burst }) => {
        const intervalMs = (1_000 * Math.min(senders, hosts.length)) / requestsPerSecond;
        const elapsedMs = clock.monotonicMs() - (sends[burst - 1] ?? -Infinity);
        return hosts.slice(0, senders).includes(options.ownId) && elapsedMs >= burst * intervalMs;
      });
    },
    recordSend({ incarnation }) {
      const sends = [clock.monotonicMs(), ...(sentAtMs.get(incarnation) ?? [])];
      sentAtMs.set(incarnation, sends.slice(0, Math.max(COLD_BURST, LIMITED_BURST)));
    },
    retain(incarnations) {
      [...sentAtMs.keys()]
        .filter((incarnation) => !incarnations.has(incarnation))
        .forEach((incarnation) => sentAtMs.delete(incarnation));
    },
  };
}

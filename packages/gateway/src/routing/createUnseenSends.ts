import type { Clock } from '@camphorbarrow/core';
import type { ServiceName } from '../model/ServiceName.js';
import { createSendRate } from '../overload/createSendRate.js';
import type { Peer } from '../peers/createPeerRegistry.js';

/** Time constant of the moving average of a service's request rate. */
const RATE_AVERAGE_MS = 1_000;
const MS_PER_S = 1_000;

/** Estimates what the view of the other hosts' loads does not contain yet. */
export interface UnseenSends {
  /** Records that this host sends a request to a server of its region. */
  recordSend(service: ServiceName): void;
  /**
   * Expected number of requests that the other hosts have sent to the servers of the service since
   * their latest heartbeats.
   */
  expected(service: ServiceName): number;
  /** Mean age of the latest heartbeats, from the time at which they were sent; 0 without peers. */
  viewAgeMs(): number;
}

/**
 * Creates an estimator. The callers of a region are spread over its hosts, so each of the others is
 * taken to send at the rate of this one. `peers` returns the other hosts that use the same servers, in
 * the same array until one of them reports again.
 */
export function createUnseenSends(
  clock: Clock,
  peers: () => readonly Pick<Peer, 'lastHeartbeatAtMs' | 'roundTripMs'>[],
): UnseenSends {
  const sends = createSendRate(clock, RATE_AVERAGE_MS);
  let summedPeers: ReturnType<typeof peers> = [];
  let sentAtSumMs = 0;

  function ageSumMs(): number {
    const current = peers();
    if (current !== summedPeers) {
      summedPeers = current;
      sentAtSumMs = current.reduce(
        (sum, { lastHeartbeatAtMs, roundTripMs = 0 }) => sum + lastHeartbeatAtMs - roundTripMs / 2,
        0,
      );
    }
    return Math.max(0, current.length * clock.monotonicMs() - sentAtSumMs);
  }

  return {
    recordSend: sends.recordSend,
    expected: (service) => (sends.perSecond(service) / MS_PER_S) * ageSumMs(),
    viewAgeMs: () => ageSumMs() / Math.max(1, peers().length),
  };
}

import type { ServerState } from '../model/ServerState.js';
import type { Peer } from '../peers/createPeerRegistry.js';

/** Time within which a host notices that it reaches no server. */
const NOTICE_MS = 2_000;

/**
 * Creates a function that returns whether another host of the region has reached warm servers of the
 * same service while this one could not: then this host lost its links, and not the servers their
 * processes. A server that has started anew alone has a new entry in the store.
 *
 * @param neighbours other hosts of the region
 */
export const createNeighbourEvidence =
  (neighbours: () => readonly Pick<Peer, 'heartbeat' | 'lastHeartbeatAtMs'>[]) =>
  ({ registration }: ServerState, failedAtMs: number): boolean =>
    neighbours().some(
      ({ heartbeat, lastHeartbeatAtMs }) =>
        lastHeartbeatAtMs > failedAtMs + NOTICE_MS &&
        (heartbeat.capacity.get(registration.service)?.usableServers ?? 0) > 0,
    );

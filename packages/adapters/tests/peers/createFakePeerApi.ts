import type { PeerApi } from '../../src/peers/PeerApi.js';

/** Creates a peer interface for tests that call none of its procedures. */
export function createFakePeerApi(unused: () => never): PeerApi {
  return {
    receiveHeartbeat: unused,
    currentConfig: unused,
    adoptConfig: unused,
    receiveCrash: unused,
    servers: unused,
    burnCounters: unused,
    relayOrder: unused,
    orderOutcome: unused,
  };
}

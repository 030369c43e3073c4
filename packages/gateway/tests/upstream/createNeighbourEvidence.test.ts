import test from 'ava';
import { createNeighbourEvidence } from '../../src/index.js';
import type { Peer } from '../../src/index.js';
import { buildServer } from '../support/builders.js';

const FAILED_AT_MS = 1_000;

function hasReached(usableServers: number | undefined, lastHeartbeatAtMs: number): boolean {
  const server = buildServer();
  const { service } = server.registration;
  const capacity = new Map(usableServers === undefined ? [] : [[service, { usableServers }]]);
  const neighbour = { heartbeat: { capacity }, lastHeartbeatAtMs } as unknown as Peer;
  return createNeighbourEvidence(() => [neighbour])(server, FAILED_AT_MS);
}

// Servers that all restarted during a cut counted as warm at the hosts whose links were back last: the
// first one had reached them, cold.
test('a neighbour that reaches only servers with limited rates is no evidence that they are warm', (t) => {
  t.true(hasReached(1, FAILED_AT_MS + 2_001));
  t.false(hasReached(0, FAILED_AT_MS + 2_001));
  t.false(hasReached(undefined, FAILED_AT_MS + 2_001));
  t.false(hasReached(1, FAILED_AT_MS + 2_000));
});

import test from 'ava';
import { asId, createManualClock } from '@camphorbarrow/core';
import {
  createLoadTracker,
  createLocalChooser,
  createPaceTracker,
  createPrefixCacheTracker,
  createServerHealth,
  createSpeedTracker,
  rankByRendezvous,
} from '../../src/index.js';
import type {
  ColdServerLimiter,
  LocalChoice,
  PeerRegistry,
  PrefixCacheTracker,
  ServerView,
} from '../../src/index.js';
import { buildDemand, buildRequestMetadata, buildServer } from '../support/builders.js';

const parts = [
  { id: 'shared', tokens: 6_000 },
  { id: 'own', tokens: 3_000 },
];
const demand = buildDemand({
  metadata: buildRequestMetadata({ promptTokens: 9_000, promptParts: parts }),
});
const ids = rankByRendezvous('shared', ['server-1', 'server-2']);
const [preferred, other] = ids.map((id, index) =>
  buildServer({ id: asId(id), endpoint: { host: `10.0.0.${index + 1}`, port: 8_000 } }),
);

/** Chooses while the preferred server has a queue of this length. */
function choose(prefixes: PrefixCacheTracker, queueMs: number): LocalChoice | undefined {
  const clock = createManualClock();
  const scored = createLocalChooser({
    random: { next: () => 0 },
    region: asId('north'),
    servers: {
      usable: () => [preferred, other],
      queueMs: (server: typeof preferred) => (server === preferred ? queueMs : 0),
    } as unknown as ServerView,
    peers: { aliveIn: () => [] } as unknown as PeerRegistry,
    loads: createLoadTracker(clock, () => []),
    speeds: createSpeedTracker(),
    paces: createPaceTracker(clock, () => []),
    health: createServerHealth(clock),
    prefixes,
    coldServerLimiter: { permits: () => true } as unknown as ColdServerLimiter,
  })(demand);
  return scored === undefined || scored === 'cold' ? undefined : scored.choice;
}

// In regions of twenty hosts a host followed a fifth of the engines: 22% of the shared parts were
// read again although an engine nearby kept them.
test('a shared prefix is fetched from its preferred server when nothing is known of it', (t) => {
  const choice = choose(createPrefixCacheTracker(createManualClock()), 1_000);
  t.is(choice?.server, other);
  t.deepEqual(choice?.fetch?.from, preferred?.registration.endpoint);
  t.true((choice?.uncachedTokens ?? 0) < 9_000);
});

test('a server that tells that it keeps nothing is not fetched from', (t) => {
  const prefixes = createPrefixCacheTracker(createManualClock());
  prefixes.applyReport(preferred?.incarnation ?? '', []);
  t.like(choose(prefixes, 1_000), { server: other, fetch: undefined, uncachedTokens: 9_000 });
});

test('an idle preferred server takes the prompt itself', (t) => {
  const choice = choose(createPrefixCacheTracker(createManualClock()), 0);
  t.is(choice?.server, preferred);
  t.is(choice?.fetch, undefined);
});

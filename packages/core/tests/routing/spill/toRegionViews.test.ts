import test from 'ava';
import type { PeerView } from '../../../src/membership/PeerView.js';
import { asId } from '../../../src/ids/asId.js';
import { createRegionDelays } from '../../../src/routing/spill/createRegionDelays.js';
import { regionLoadLimits } from '../../../src/routing/spill/regionLoadLimits.js';
import { summarizeRegionLoad } from '../../../src/routing/spill/summarizeRegionLoad.js';
import { toRegionViews } from '../../../src/routing/spill/toRegionViews.js';
import { createServer } from '../fixtures.js';
import { costa } from './fixtures.js';

function createPeer(name: string, changes: Partial<PeerView> = {}): PeerView {
  return {
    hostId: asId(name),
    incarnation: asId('first'),
    startedAtMs: 0,
    regionId: costa,
    availabilityZoneId: asId('costa-a'),
    callerUrl: `http://${name}`,
    peerUrl: `http://peer-${name}`,
    state: 'live',
    sequence: 1,
    configVersion: 1,
    configChangeId: 'c',
    reachable: true,
    lastSeenAtMs: 1_000,
    ...changes,
  };
}

const idle = { capacity: 16, inUse: 1, firstTokenWaitMs: 0, spilling: false };

test('differing summaries of one region are combined in the least favourable way', (t) => {
  const busy = { capacity: 8, inUse: 20, firstTokenWaitMs: 900, spilling: true };
  const [view] = toRegionViews({
    ownRegionId: asId('sierra-sur'),
    peers: [
      createPeer('a', { regionLoad: idle }),
      createPeer('b', { regionLoad: busy, lastSeenAtMs: 400 }),
    ],
    ownConfigVersion: 1,
    nowMs: 2_000,
    roundTripMs: () => 160,
  });
  t.deepEqual(view?.load, busy);
  t.is(view?.loadAgeMs, 1_000);
});

test('draining hosts, unreachable hosts and the own region give no views', (t) => {
  const views = toRegionViews({
    ownRegionId: asId('sierra-sur'),
    peers: [
      createPeer('a', { state: 'draining', regionLoad: idle }),
      createPeer('b', { reachable: false, regionLoad: idle }),
      createPeer('c', { regionId: asId('sierra-sur'), regionLoad: idle }),
    ],
    ownConfigVersion: 1,
    nowMs: 0,
    roundTripMs: () => 160,
  });
  t.deepEqual(views, []);
});

test('a host whose reachable peer has a newer configuration gets no views', (t) => {
  const viewsAt = (configVersion: number, reachable: boolean): number =>
    toRegionViews({
      ownRegionId: asId('sierra-sur'),
      peers: [
        createPeer('a', { regionLoad: idle }),
        createPeer('b', { regionId: asId('sierra-sur'), configVersion, reachable }),
      ],
      ownConfigVersion: 1,
      nowMs: 0,
      roundTripMs: () => 160,
    }).length;
  t.is(viewsAt(2, true), 0);
  t.is(viewsAt(1, true), 1);
  // An unreachable host must not disable forwarding while it is still in the peer list.
  t.is(viewsAt(2, false), 1);
});

test('a region whose heartbeats fail or are outdated has no round trip', (t) => {
  let nowMs = 0;
  const delays = createRegionDelays({
    nowMs: () => nowMs,
    monotonicMs: () => nowMs,
    sleep: async () => {},
  });
  t.is(delays.roundTripMs(costa), undefined);
  delays.record(costa, 160);
  delays.record(costa, undefined);
  delays.record(costa, undefined);
  t.is(delays.roundTripMs(costa), 160);
  delays.record(costa, undefined);
  t.is(delays.roundTripMs(costa), undefined);
  delays.record(costa, 160);
  nowMs = 30_001;
  t.is(delays.roundTripMs(costa), undefined);
});

test('the summary of a region has at most 128 bytes for arbitrarily large reports', (t) => {
  const huge = { runningRequests: 1e12, waitingRequests: 1e12, maxConcurrentRequests: 1e12 };
  const summary = summarizeRegionLoad({
    servers: [createServer('a', huge), createServer('b', huge)],
    estimator: { queueMs: () => 1e12 },
    context: { nowMs: 0, entryHostCount: 1 },
    ownQueueMs: 0,
    spilling: false,
  });
  t.is(summary.inUse, regionLoadLimits.maxRequests);
  t.true(JSON.stringify({ regionLoad: summary }).length <= 128);
});

test('a region without usable engines reports no capacity and the maximum wait', (t) => {
  const summary = summarizeRegionLoad({
    servers: [
      { ...createServer('a'), accepting: false },
      { ...createServer('b'), load: undefined },
    ],
    estimator: { queueMs: () => 0 },
    context: { nowMs: 0, entryHostCount: 1 },
    ownQueueMs: 0,
    spilling: false,
  });
  t.is(summary.capacity, 0);
  t.is(summary.firstTokenWaitMs, regionLoadLimits.maxWaitMs);
});

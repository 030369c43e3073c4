import test from 'ava';
import { asId, createManualClock } from '@camphorbarrow/core';
import type { ServerId } from '@camphorbarrow/core';
import { createPaceTracker } from '../../src/index.js';

const server = asId<ServerId>('server-1');
const peerWithPace = (msPerEvent: number) => ({
  heartbeat: { paces: new Map([[server, msPerEvent]]) },
});

// With 25 hosts in a region, each had at most one stream on an engine and took the engine for idle
// otherwise. Requests were admitted to engines on which streams needed 300 ms per event.
test('a host without streams on an engine uses the pace reported by peers', (t) => {
  const peers = [peerWithPace(300), peerWithPace(200)];
  const tracker = createPaceTracker(createManualClock(), () => peers);
  t.is(tracker.msPerEvent(server), 250);
  t.is(tracker.msPerEvent(asId('server-2')), 35);
});

test('the pace of own streams has the same weight as that of a peer', (t) => {
  const peers = [peerWithPace(300)];
  const tracker = createPaceTracker(createManualClock(), () => peers);
  tracker.recordEventGap(server, 35);
  t.is(tracker.msPerEvent(server), 167.5);
});

test('a pace is reported for a short time and decays slowly', (t) => {
  const clock = createManualClock();
  const tracker = createPaceTracker(clock, () => []);
  tracker.recordEventGap(server, 1_035);
  t.is(tracker.msPerEvent(server), 85);
  t.deepEqual([...tracker.ownPaces()], [[server, 85]]);
  clock.advance(600);
  t.is(tracker.ownPaces().size, 0);
  t.true(tracker.msPerEvent(server) > 60);
  clock.advance(10_000);
  t.true(tracker.msPerEvent(server) < 36);
});

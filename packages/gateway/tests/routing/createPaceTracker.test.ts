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

// A host of a large region has one stream on an engine. It took an engine for three times as fast as
// it was, for seconds, and admitted long streams that ended at their deadline.
test('a slower pace is noticed within two seconds, however few streams a host has', (t) => {
  [1, 5].forEach((streams) => {
    const clock = createManualClock();
    const tracker = createPaceTracker(clock, () => []);
    const gapMs = 300;
    for (let elapsedMs = 0; elapsedMs < 2_000; elapsedMs += gapMs / streams) {
      clock.advance(gapMs / streams);
      tracker.recordEventGap(server, gapMs);
    }
    t.true(tracker.msPerEvent(server) > 220, `${streams} streams`);
    t.true(tracker.msPerEvent(server) <= gapMs);
  });
});

test('the pace of an engine with many streams is an average of many gaps', (t) => {
  const clock = createManualClock();
  const tracker = createPaceTracker(clock, () => []);
  for (let gaps = 0; gaps < 200; gaps += 1) {
    clock.advance(5);
    tracker.recordEventGap(server, 100);
  }
  clock.advance(5);
  tracker.recordEventGap(server, 500);
  t.true(tracker.msPerEvent(server) < 130);
});

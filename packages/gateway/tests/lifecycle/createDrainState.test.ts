import test from 'ava';
import { createManualClock } from '@camphorbarrow/core';
import { createDrainState } from '../../src/index.js';

const GRACE_MS = 8_000;
const CLOSE_AT_MS = 7_300;

test('only requests that end before the connections are closed are accepted during a drain', (t) => {
  const clock = createManualClock();
  const drain = createDrainState(clock, () => GRACE_MS);
  t.true(drain.acceptsRequest(1_000_000));
  drain.start(clock.monotonicMs());
  t.true(drain.acceptsRequest(CLOSE_AT_MS));
  t.false(drain.acceptsRequest(CLOSE_AT_MS + 1));
  clock.advance(2_999);
  t.true(drain.acceptsRequest(CLOSE_AT_MS));
  clock.advance(1);
  t.false(drain.acceptsRequest(clock.monotonicMs()));
  t.true(drain.isRejectingRequests());
});

test('a grace period that is shorter than the time for closing connections accepts no request', (t) => {
  const clock = createManualClock();
  const drain = createDrainState(clock, () => 500);
  drain.start(clock.monotonicMs());
  t.true(drain.isRejectingRequests());
  t.false(drain.acceptsRequest(0));
});

// Requests were accepted and connections closed by settings that changed during the drain.
test('the grace period that counts is the one at the start of the drain', (t) => {
  const clock = createManualClock();
  let graceMs = GRACE_MS;
  const drain = createDrainState(clock, () => graceMs);
  drain.start(clock.monotonicMs());
  graceMs = 1_000;
  t.true(drain.acceptsRequest(CLOSE_AT_MS));
  drain.start(clock.monotonicMs());
  t.true(drain.acceptsRequest(CLOSE_AT_MS));
});

test('the time that a host was paused before it learned of the stop is part of the grace period', (t) => {
  const clock = createManualClock();
  clock.advance(2_000);
  const drain = createDrainState(clock, () => GRACE_MS);
  drain.start(500);
  t.true(drain.acceptsRequest(500 + CLOSE_AT_MS));
  t.false(drain.acceptsRequest(500 + CLOSE_AT_MS + 1));
  t.is(drain.closesInMs(), CLOSE_AT_MS - 1_500);
  clock.advance(2_999);
  t.false(drain.isRejectingRequests());
  clock.advance(1);
  t.true(drain.isRejectingRequests());
});

import test from 'ava';
import fc from 'fast-check';
import { createSharedDispatchLimit } from '../../src/admission/createSharedDispatchLimit.js';
import { createFakeServer } from '../support/createFakeServer.js';

test('entry hosts share the capacity of a busy server, so that they do not overfill it', (t) => {
  const limit = createSharedDispatchLimit(() => 4);
  const load = { maxConcurrentRequests: 16, runningRequests: 16 };
  t.is(limit(createFakeServer({ ownInFlightRequests: 4 }, load)), 4);
});

test('places that other hosts leave free are used instead of staying idle', (t) => {
  const limit = createSharedDispatchLimit(() => 4);
  const load = { maxConcurrentRequests: 16, runningRequests: 4 };
  t.is(limit(createFakeServer({ ownInFlightRequests: 4 }, load)), 7);
});

test('requests waiting in the engine lower the limit, so that the engine queue empties', (t) => {
  const limit = createSharedDispatchLimit(() => 2);
  const load = { maxConcurrentRequests: 8, runningRequests: 8, waitingRequests: 4 };
  t.is(limit(createFakeServer({}, load)), 2);
});

test('a server without a report gets one request until its capacity is known', (t) => {
  t.is(createSharedDispatchLimit(() => 2)(createFakeServer({ load: undefined })), 1);
});

test('hosts with equal views never plan more than the capacity plus rounding and minimum', (t) => {
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 64 }),
      fc.integer({ min: 1, max: 16 }),
      fc.nat({ max: 64 }),
      fc.nat({ max: 64 }),
      (capacity, hosts, running, own) => {
        const load = {
          maxConcurrentRequests: capacity,
          runningRequests: Math.min(running, capacity),
        };
        const limit = createSharedDispatchLimit(() => hosts);
        const granted = limit(createFakeServer({ ownInFlightRequests: own }, load));
        t.true(granted >= 1 && granted <= Math.max(1, capacity));
      },
    ),
  );
});

import test from 'ava';
import fc from 'fast-check';
import { createSharedDispatchLimit } from '../../src/admission/createSharedDispatchLimit.js';
import { createFakeServer } from '../support/createFakeServer.js';

test('entry hosts divide the capacity of a busy server equally', (t) => {
  const limit = createSharedDispatchLimit(() => 4);
  const load = { maxConcurrentRequests: 16, runningRequests: 16 };
  t.is(limit(createFakeServer({ ownInFlightRequests: 4 }, load)), 4);
});

test('slots that are unused by other hosts raise the limit', (t) => {
  const limit = createSharedDispatchLimit(() => 4);
  const load = { maxConcurrentRequests: 16, runningRequests: 4 };
  t.is(limit(createFakeServer({ ownInFlightRequests: 4 }, load)), 7);
});

test('requests that wait in the engine lower the limit, so that the engine queue drains', (t) => {
  const limit = createSharedDispatchLimit(() => 2);
  const load = { maxConcurrentRequests: 8, runningRequests: 8, waitingRequests: 4 };
  t.is(limit(createFakeServer({}, load)), 2);
});

test('a server without a load report receives one request at a time', (t) => {
  t.is(createSharedDispatchLimit(() => 2)(createFakeServer({ load: undefined })), 1);
});

test('the limit is at least one and at most the capacity', (t) => {
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
        const allowed = limit(createFakeServer({ ownInFlightRequests: own }, load));
        t.true(allowed >= 1 && allowed <= Math.max(1, capacity));
      },
    ),
  );
});

import test from 'ava';
import { estimateFinish } from '../../src/index.js';
import type { RoutingRequest } from '../../src/index.js';
import { buildRoutingRequest, buildRoute } from '../support/builders.js';

const requestOf = (rank: number, expectedEvents: number): RoutingRequest =>
  buildRoutingRequest({ route: buildRoute({ rank }), expectedEvents, typicalEvents: 25 });

test('the duration of a response follows from its length and the pace of the server', (t) => {
  const timing = { msPerEvent: 40, prefillMs: 0, running: 0 };
  t.is(estimateFinish(requestOf(0, 50), timing).finishMs, 2_000);
  t.is(estimateFinish(requestOf(0, 50), timing).typicalFinishMs, 1_000);
});

test('less urgent prompts avoid servers with many streams more strongly', (t) => {
  const timing = { msPerEvent: 0, prefillMs: 150, running: 20 };
  const urgent = estimateFinish(requestOf(0, 50), timing).scoreMs;
  const lessUrgent = estimateFinish(requestOf(2, 50), timing).scoreMs;
  t.true(lessUrgent > 2 * urgent);
});

import test from 'ava';
import { estimateFinish } from '../../src/index.js';
import type { RoutingRequest } from '../../src/index.js';
import { buildDemand, buildRoute } from '../support/builders.js';

const demandOf = (rank: number, expectedEvents: number): RoutingRequest =>
  buildDemand({ route: buildRoute({ rank }), expectedEvents, typicalEvents: 25 });

test('a long answer takes the pace of the events of its server', (t) => {
  const pace = { msPerEvent: 40, readMs: 0, running: 0 };
  t.is(estimateFinish(demandOf(0, 50), pace).finishMs, 2_000);
  t.is(estimateFinish(demandOf(0, 50), pace).typicalFinishMs, 1_000);
});

test('prompts of patient ranks keep further from servers with many streams', (t) => {
  const pace = { msPerEvent: 0, readMs: 150, running: 20 };
  const urgent = estimateFinish(demandOf(0, 50), pace).scoreMs;
  const patient = estimateFinish(demandOf(2, 50), pace).scoreMs;
  t.true(patient > 2 * urgent);
});

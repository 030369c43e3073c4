import test from 'ava';
import { asId, createManualClock } from '@camphorbarrow/core';
import { createLoadTracker, createRouter } from '../../src/index.js';
import type { LocalChoice, Peer, RegionChoice, ServerLoad } from '../../src/index.js';
import { buildDemand, buildRoute, buildServer } from '../support/builders.js';

const demand = buildDemand({ route: buildRoute({ targetLatencyMs: 800 }) });

function localChoice(waitMs: number, running = 10): LocalChoice {
  return {
    kind: 'server',
    server: buildServer(),
    rank: 0,
    estimateMs: waitMs + 100,
    waitMs,
    finishMs: 300,
    typicalFinishMs: 300,
    fetch: undefined,
    uncachedTokens: 3_000,
    tokensAhead: 0,
    running,
  };
}

const regionChoice = (estimateMs: number): RegionChoice => ({
  kind: 'region',
  peer: { heartbeat: { capacity: new Map() } } as unknown as Peer,
  estimateMs,
  waitMs: estimateMs - 100,
  finishMs: 300,
  typicalFinishMs: 300,
});

function setUp(local: LocalChoice | undefined, region?: RegionChoice, load?: ServerLoad) {
  const loads = createLoadTracker(createManualClock(), () => []);
  if (load !== undefined) {
    loads.recordReport(asId('server-1'), load);
  }
  let askedRegions = false;
  const router = createRouter({
    chooseLocal: () =>
      local === undefined ? undefined : { choice: local, scoreMs: local.estimateMs },
    chooseRegion: () => {
      askedRegions = true;
      return region === undefined ? undefined : { choice: region, scoreMs: region.estimateMs };
    },
    loads,
  });
  return { router, askedRegions: () => askedRegions };
}

test('a request that its region serves well in time does not travel', (t) => {
  const { router, askedRegions } = setUp(localChoice(100), regionChoice(10));
  t.is(router.choose(demand).kind, 'server');
  t.false(askedRegions());
});

test('a request travels when another region is better by more than the way is worth', (t) => {
  t.is(setUp(localChoice(600), regionChoice(400)).router.choose(demand).kind, 'region');
  t.is(setUp(localChoice(600), regionChoice(650)).router.choose(demand).kind, 'server');
});

test('a request is refused where long answers of its route would end after its deadline', (t) => {
  const route = buildRoute({ rank: 2 });
  const choose = (typicalFinishMs: number, relayed: boolean) =>
    setUp({ ...localChoice(100, 60), typicalFinishMs }).router.choose({
      ...demand,
      route,
      isRelayed: relayed,
    });
  t.is(choose(1_900, false).kind, 'server');
  t.like(choose(2_000, false), { kind: 'none', reason: 'overloaded' });
  t.like(choose(2_000, true), { kind: 'none', reason: 'overloaded' }, 'also for another host');
});

test('the most urgent requests are admitted where others are refused for their end', (t) => {
  const choose = (typicalFinishMs: number) =>
    setUp({ ...localChoice(100, 60), typicalFinishMs }).router.choose(demand);
  t.is(choose(4_800).kind, 'server');
  t.like(choose(4_900), { kind: 'none', reason: 'overloaded' });
});

test('a request that another host passed on never travels again', (t) => {
  const { router } = setUp(undefined, regionChoice(10));
  t.like(router.choose({ ...demand, isRelayed: true }), { kind: 'none', reason: 'no-server' });
});

test('a request that would wait beyond its target is refused when requests wait there', (t) => {
  const waiting = { running: 20, waiting: 3, slots: 64 };
  const { router } = setUp(localChoice(2_000), undefined, waiting);
  t.like(router.choose(demand), {
    kind: 'none',
    reason: 'overloaded',
    refused: { waitMs: 2_000 },
  });
});

test('no request is refused while half of the places are free and none waits', (t) => {
  t.is(setUp(localChoice(2_000, 20)).router.choose(demand).kind, 'server');
  t.is(setUp(localChoice(2_000, 40)).router.choose(demand).kind, 'none');
});

test('a request that cost a server work already is not refused for its wait', (t) => {
  const { router } = setUp(localChoice(2_000, 60));
  t.is(router.choose({ ...demand, isRetry: true }).kind, 'server');
});

test('a request whose route cannot end in time is refused by full servers', (t) => {
  const choice = { ...localChoice(100, 60), typicalFinishMs: 6_000 };
  t.is(setUp(choice).router.choose(demand).kind, 'none');
});

// Callers of the longest answers were refused four times as often as others of their route.
test('a request for a long answer is admitted as the others of its route are', (t) => {
  const choice = { ...localChoice(100, 60), finishMs: 6_000 };
  t.is(setUp(choice).router.choose(demand).kind, 'server');
});

import test from 'ava';
import { asId, createManualClock } from '@camphorbarrow/core';
import { createLoadTracker, createRouter } from '../../src/index.js';
import type {
  LocalChoice,
  Peer,
  RegionChoice,
  RegionScope,
  RouterOptions,
  ServerLoad,
} from '../../src/index.js';
import { buildRoutingRequest, buildRoute, buildServer } from '../support/builders.js';

const request = buildRoutingRequest({ route: buildRoute({ targetLatencyMs: 800 }) });

function localChoice(waitMs: number, running = 10): LocalChoice {
  return {
    kind: 'server',
    server: buildServer(),
    rank: 0,
    estimateMs: waitMs + 100,
    waitMs,
    finishMs: 300,
    typicalFinishMs: 300,
    stallMs: 0,
    fetch: undefined,
    uncachedTokens: 3_000,
    tokensAhead: 0,
    viewCorrectionMs: 0,
    failureMs: 0,
    running,
  };
}

const regionChoice = (estimateMs: number): RegionChoice => ({
  kind: 'region',
  peer: {} as unknown as Peer,
  isOwnRegion: false,
  slotUsageRatio: 0,
  estimateMs,
  waitMs: estimateMs - 100,
  finishMs: 300,
  typicalFinishMs: 300,
});

function setUp(
  local: LocalChoice | undefined,
  region?: RegionChoice,
  load?: ServerLoad,
  overrides: Partial<RouterOptions> = {},
) {
  const loads = createLoadTracker(createManualClock(), () => []);
  if (load !== undefined) {
    loads.recordReport(asId('server-1'), load);
  }
  let regionsConsidered = false;
  const router = createRouter({
    chooseLocal: () =>
      local === undefined
        ? { kind: 'none', reason: 'no-server' }
        : { choice: local, scoreMs: local.estimateMs },
    chooseRegion: () => {
      regionsConsidered = true;
      return region === undefined ? undefined : { choice: region, scoreMs: region.estimateMs };
    },
    loads,
    region: asId('north'),
    contentionMs: () => 0,
    slotUsageRatio: () => 0,
    overload: { shedCause: () => undefined },
    ...overrides,
  });
  return { router, regionsConsidered: () => regionsConsidered };
}

test('a request that its region can serve well within its target stays in the region', (t) => {
  const { router, regionsConsidered } = setUp(localChoice(100), regionChoice(10));
  t.is(router.choose(request).kind, 'server');
  t.false(regionsConsidered());
});

test('a request goes to another region if the gain exceeds the minimum', (t) => {
  t.is(setUp(localChoice(600), regionChoice(400)).router.choose(request).kind, 'region');
  t.is(setUp(localChoice(600), regionChoice(650)).router.choose(request).kind, 'server');
});

test('a request is rejected if long responses of its route would exceed its deadline', (t) => {
  const route = buildRoute({ rank: 2 });
  const choose = (typicalFinishMs: number, relayed: boolean) =>
    setUp({ ...localChoice(100, 60), typicalFinishMs }).router.choose({
      ...request,
      route,
      isRelayed: relayed,
    });
  t.is(choose(1_900, false).kind, 'server');
  t.like(choose(2_000, false), { kind: 'none', reason: 'overloaded' });
  t.like(choose(2_000, true), { kind: 'none', reason: 'overloaded' }, 'also for a relayed request');
});

test('the most urgent requests are rejected only if a typical response would exceed the deadline', (t) => {
  const choose = (typicalFinishMs: number) =>
    setUp({ ...localChoice(100, 60), typicalFinishMs }).router.choose(request);
  t.is(choose(4_800).kind, 'server');
  t.like(choose(4_900), { kind: 'none', reason: 'overloaded' });
});

test('a relayed request is not relayed again', (t) => {
  const { router } = setUp(undefined, regionChoice(10));
  t.like(router.choose({ ...request, isRelayed: true }), { kind: 'none', reason: 'no-server' });
});

test('only a host that can send to none of the servers relays inside its region', (t) => {
  const chosenFor = (
    reason: 'no-server' | 'rate-limited' | 'rejection-limited' | 'unreachable',
    isRelayed = false,
    neighbourRejections = 0,
  ) => {
    let scope: RegionScope | undefined;
    const { router } = setUp(undefined, undefined, undefined, {
      chooseLocal: () => ({ kind: 'none', reason }),
      chooseRegion(_, chosenScope) {
        scope = chosenScope;
        return undefined;
      },
    });
    t.like(router.choose({ ...request, isRelayed, neighbourRejections }), { kind: 'none', reason });
    return scope;
  };
  t.is(chosenFor('unreachable'), 'all');
  t.is(chosenFor('unreachable', true), undefined);
  t.is(chosenFor('unreachable', false, 2), 'own', 'after other regions');
  t.is(chosenFor('no-server'), 'others');
  t.is(chosenFor('rate-limited'), 'others');
  t.is(chosenFor('rejection-limited'), 'with-room');
  t.is(chosenFor('rejection-limited', false, 2), 'others');
});

// The estimate of a host without servers rejected what a neighbour would have let wait for room.
test('a neighbour decides itself whether it has room for the requests of a host without servers', (t) => {
  const busy = { slotUsageRatio: 1, waitMs: 9_000 };
  const neighbour = { ...regionChoice(100), ...busy, isOwnRegion: true };
  const other = { ...regionChoice(50), ...busy };
  const choose = (choices: Partial<Record<RegionScope, RegionChoice>>) =>
    setUp(undefined, undefined, undefined, {
      chooseLocal: () => ({ kind: 'none', reason: 'unreachable' }),
      chooseRegion(_, scope) {
        const choice = choices[scope];
        return choice && { choice, scoreMs: choice.estimateMs };
      },
    }).router.choose(request);
  t.is(choose({ all: neighbour }), neighbour);
  t.is(choose({ all: other, own: neighbour }), neighbour);
  t.like(choose({ all: other }), { kind: 'none', reason: 'overloaded', cause: 'full' });
});

// A request that had waited for a connection waited for the next one, while a neighbour had them open.
test('a request that fails to connect goes to a neighbour, and back if another host relayed it', (t) => {
  const choose = (changes: object, neighbour?: RegionChoice) => {
    const { router } = setUp(localChoice(100), undefined, undefined, {
      chooseRegion: (_, scope) =>
        scope === 'own' && neighbour !== undefined ? { choice: neighbour, scoreMs: 0 } : undefined,
    });
    return router.choose({ ...request, failsToConnect: true, ...changes });
  };
  const neighbour = { ...regionChoice(100), isOwnRegion: true };
  t.is(choose({}, neighbour).kind, 'region');
  t.is(choose({ failsToConnect: false }, neighbour).kind, 'server');
  t.is(choose({}).kind, 'server');
  t.like(choose({ isRelayed: true }, neighbour), { kind: 'none', reason: 'unreachable' });
  t.is(choose({ isRelayed: true }).kind, 'server');
  t.is(choose({}, { ...neighbour, slotUsageRatio: 1, waitMs: 9_000 }).kind, 'server');
});

test('a request that would wait beyond its target is rejected if the server has waiting requests', (t) => {
  const waiting = { running: 20, waiting: 3, slots: 64, slowdownRatio: 1 };
  const { router } = setUp(localChoice(2_000), undefined, waiting);
  t.like(router.choose(request), {
    kind: 'none',
    reason: 'overloaded',
    rejected: { waitMs: 2_000 },
  });
});

test('no request is rejected while half of the slots are free and no request waits', (t) => {
  t.is(setUp(localChoice(2_000, 20)).router.choose(request).kind, 'server');
  t.is(setUp(localChoice(2_000, 40)).router.choose(request).kind, 'none');
});

test('a retry is not rejected for its wait', (t) => {
  const { router } = setUp(localChoice(2_000, 60));
  t.is(router.choose({ ...request, isRetry: true }).kind, 'server');
});

test('full servers reject a request if typical responses of its route would end too late', (t) => {
  const choice = { ...localChoice(100, 60), typicalFinishMs: 6_000 };
  t.is(setUp(choice).router.choose(request).kind, 'none');
});

// With admission by expected length, callers of the longest responses were rejected four times as
// often as others of their route.
test('a request for a long response is admitted like the others of its route', (t) => {
  const choice = { ...localChoice(100, 60), finishMs: 6_000 };
  t.is(setUp(choice).router.choose(request).kind, 'server');
});

// In a burst at 195 hosts, half of the requests of the busy region were rejected for the end of a long
// response, while the servers of the other regions were idle: their first event was expected in time.
test('a request that its region would reject goes to another region that admits it', (t) => {
  const slow = { ...localChoice(100, 60), typicalFinishMs: 2_500 };
  const quick = { ...regionChoice(300), typicalFinishMs: 500 };
  const patient = buildRoutingRequest({ route: buildRoute({ rank: 2, targetLatencyMs: 800 }) });
  t.is(setUp(slow, quick).router.choose(patient).kind, 'region');
  t.is(setUp(slow, undefined).router.choose(patient).kind, 'none');
  const relayed = { ...patient, isRelayed: true };
  t.is(setUp(slow, quick).router.choose(relayed).kind, 'none');
});

test('a request that another region would reject stays in its region if that admits it', (t) => {
  const local = { ...localChoice(700, 60), typicalFinishMs: 300 };
  const region = { ...regionChoice(150), slotUsageRatio: 0.9, typicalFinishMs: 9_000 };
  const patient = buildRoutingRequest({ route: buildRoute({ rank: 2, targetLatencyMs: 800 }) });
  t.is(setUp(local, region).router.choose(patient).kind, 'server');
});

test('a rejection tells when room is expected, and whether the deadline could be met without a queue', (t) => {
  const choose = (local: LocalChoice, region?: RegionChoice) =>
    setUp(local, region).router.choose(request);
  const crowded = { ...regionChoice(900), slotUsageRatio: 1 };
  t.like(choose(localChoice(1_000, 60)), { roomInMs: 280, fitsWithoutQueue: true });
  t.like(choose(localChoice(1_000, 60), crowded), { roomInMs: 80, fitsWithoutQueue: true });
  const endless = { ...localChoice(1_000, 60), typicalFinishMs: 60_000 };
  t.like(choose(endless), { kind: 'none', fitsWithoutQueue: false });
  t.like(choose(endless, crowded), { kind: 'none', fitsWithoutQueue: true });
});

// A customer was held to its share for seconds after a burst while a third of the slots were free.
test('requests are rejected for the sake of others only while room is short', (t) => {
  const choose = (choice: LocalChoice | undefined, rank: number, region?: RegionChoice) =>
    setUp(choice, region, undefined, {
      slotUsageRatio: () => 0.9,
      overload: { shedCause: (each) => (each.rank > 0 ? 'rank' : 'customer') },
    }).router.choose({ ...request, route: buildRoute({ rank, targetLatencyMs: 800 }) });
  t.is(choose(localChoice(100, 10), 2).kind, 'server', 'slots are free');
  t.is(choose(localChoice(300, 60), 0).kind, 'server', 'an urgent request would not wait');
  t.like(choose(localChoice(500, 60), 0), { kind: 'none', cause: 'customer' });
  t.like(choose(localChoice(100, 60), 2), { kind: 'none', cause: 'rank' });
  const crowded = { ...regionChoice(600), slotUsageRatio: 1 };
  t.is(choose(localChoice(100, 60), 2, regionChoice(600)).kind, 'region', 'free servers elsewhere');
  t.like(choose(localChoice(100, 60), 2, crowded), { kind: 'none', cause: 'rank' });
  t.like(choose(undefined, 2, crowded), { kind: 'none', cause: 'rank' });
});

// The best server is often a busy one that holds the prefix of the prompt.
test('nothing is shed while half of the slots of the region are free', (t) => {
  const choose = (slotUsageRatio: number, rank: number) =>
    setUp(localChoice(500, 60), undefined, undefined, {
      slotUsageRatio: () => slotUsageRatio,
      overload: { shedCause: () => 'rank' },
    }).router.choose({ ...request, route: buildRoute({ rank, targetLatencyMs: 800 }) });
  for (const rank of [0, 2]) {
    t.is(choose(0.49, rank).kind, 'server');
    t.like(choose(0.5, rank), { kind: 'none', cause: 'rank' });
  }
});

test('a request leaves a region in which it contends with bound routes for a better one', (t) => {
  const choose = (contentionMs: number) =>
    setUp(localChoice(100), regionChoice(300), undefined, {
      contentionMs: () => contentionMs,
    }).router.choose(request).kind;
  t.is(choose(0), 'server');
  t.is(choose(300), 'region');
  t.is(choose(100), 'server', 'the gain is below the minimum');
});

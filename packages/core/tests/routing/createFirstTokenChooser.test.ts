import test from 'ava';
import { asId } from '../../src/ids/asId.js';
import type { RandomSource } from '../../src/ports/RandomSource.js';
import type { RouteChooser } from '../../src/routing/RouteChooser.js';
import type { ServerView } from '../../src/routing/ServerView.js';
import { createFirstTokenChooser } from '../../src/routing/createFirstTokenChooser.js';
import { createFirstTokenEstimator } from '../../src/routing/createFirstTokenEstimator.js';
import { createServerRates } from '../../src/routing/createServerRates.js';
import { createSeededRandom } from '../../src/time/createSeededRandom.js';
import { createRequest, createServer } from './fixtures.js';

const SEED = 41;

function createChooser(): RouteChooser {
  return createFirstTokenChooser(createFirstTokenEstimator(createServerRates()));
}

interface Round {
  readonly requests: number;
  readonly entryHostCount?: number;
  readonly nowMs?: number;
  readonly cachedTokens?: (server: ServerView) => number;
  readonly promptTokens?: number;
  readonly random?: RandomSource;
}

/** Counts the choices by server for simultaneous requests, without new load reports in between. */
function countChoices(
  choose: RouteChooser,
  servers: readonly ServerView[],
  round: Round,
): Record<string, number> {
  const random = round.random ?? createSeededRandom(SEED);
  const promptTokens = round.promptTokens ?? 400;
  const counts: Record<string, number> = {};
  for (let index = 0; index < round.requests; index += 1) {
    const chosen = choose(createRequest({ promptTokens }), servers, {
      nowMs: round.nowMs ?? 0,
      random,
      entryHostCount: round.entryHostCount ?? 1,
      cachedTokens: round.cachedTokens ?? (() => 0),
    });
    const name = String(chosen?.entry.serverId);
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
}

test('no server is chosen without candidates', (t) => {
  t.deepEqual(countChoices(createChooser(), [], { requests: 1 }), { undefined: 1 });
});

test('a stale report of an idle server does not attract the requests of all entry hosts', (t) => {
  const servers = [
    createServer('idle', { runningRequests: 0 }),
    createServer('a', { runningRequests: 8, waitingRequests: 2 }),
    createServer('b', { runningRequests: 8, waitingRequests: 2 }),
  ];
  const total = Array.from({ length: 6 }, () =>
    countChoices(createChooser(), servers, { requests: 4, entryHostCount: 6, promptTokens: 10 }),
  ).reduce((sum, counts) => sum + (counts.idle ?? 0), 0);
  // The idle server has 8 free slots; each of the 6 hosts may exceed them by one request.
  t.true(total <= 14, `${total} of 24 requests went to the idle server`);
});

test('entry hosts with equal reports do not all choose the first server', (t) => {
  const servers = ['a', 'b', 'c', 'd'].map((name) => createServer(name));
  const random = createSeededRandom(SEED);
  const first = Array.from({ length: 24 }, () =>
    Object.keys(countChoices(createChooser(), servers, { requests: 1, random })),
  ).flat();
  const most = Math.max(
    ...servers.map(({ entry }) => first.filter((name) => name === entry.serverId).length),
  );
  t.true(most <= 12, `${most} of 24 entry hosts chose the same server`);
});

test('a cached prefix does not overload its server while others are idle', (t) => {
  const servers = [createServer('cached'), createServer('other')];
  const counts = countChoices(createChooser(), servers, {
    requests: 40,
    cachedTokens: ({ entry }) => (entry.serverId === 'cached' ? 400 : 0),
  });
  t.true((counts.cached ?? 0) >= 8);
  t.true((counts.other ?? 0) >= 12, JSON.stringify(counts));
});

test('a cached prefix is used while its server has free slots', (t) => {
  const choose = createChooser();
  const servers = [createServer('cached', { runningRequests: 3 }), createServer('idle')];
  const chosen = choose(createRequest({ promptTokens: 8_000 }), servers, {
    nowMs: 0,
    random: createSeededRandom(SEED),
    entryHostCount: 2,
    cachedTokens: ({ entry }) => (entry.serverId === 'cached' ? 7_900 : 0),
  });
  t.is(chosen?.entry.serverId, servers[0]?.entry.serverId);
});

test('a server that restarts with an empty cache is not overloaded', (t) => {
  const choose = createChooser();
  const busy = { runningRequests: 8, waitingRequests: 1 };
  const before = [createServer('a', busy), createServer('b', busy), createServer('back', busy)];
  countChoices(choose, before, { requests: 1 });
  const cold = createServer('back', { incarnation: asId('second') });
  const after = [createServer('a', busy), createServer('b', busy), { ...cold, loadAtMs: 1 }];
  const round = { requests: 9, nowMs: 30_000 };
  const early = countChoices(choose, after, round);
  t.true((early.back ?? 0) <= 5, JSON.stringify(early));
  const warm = after.map((server) => ({ ...server, loadAtMs: 2 }));
  const late = countChoices(choose, warm, { ...round, nowMs: 60_000 });
  t.true((late.back ?? 0) >= 8, JSON.stringify(late));
});

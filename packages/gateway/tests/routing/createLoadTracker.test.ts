import test from 'ava';
import { asId, createManualClock } from '@camphorbarrow/core';
import { createLoadTracker } from '../../src/index.js';

const server = asId<never>('server-1');
const report = { running: 2, waiting: 0, slots: 8 };

test('a reported slowdown counts less the older it is', (t) => {
  const clock = createManualClock();
  const loads = createLoadTracker(clock, () => []);
  t.is(loads.slowdownRatio(server), 1);
  loads.recordReport(server, { ...report, slowdownRatio: 3 });
  t.is(loads.slowdownRatio(server), 3);
  clock.advance(300);
  const later = loads.slowdownRatio(server);
  t.true(later > 1.5 && later < 2);
  clock.advance(10_000);
  t.true(loads.slowdownRatio(server) < 1.01);
});

test('the load of a peer counts until its next report or its loss', (t) => {
  const clock = createManualClock();
  const loadOf = (running: number, tokens: number) => ({
    heartbeat: {
      loads: new Map([[server, { running, pendingTokens: new Map([[0, tokens]]) }]]),
    },
  });
  let peers = [loadOf(3, 1_000.4), loadOf(1, 0)];
  const loads = createLoadTracker(clock, () => peers);
  t.is(loads.running(server), 4);
  t.is(loads.tokensAhead(server, 0), 1_000);
  peers = [loadOf(2, 500), ...peers.slice(1)];
  t.is(loads.running(server), 3);
  t.is(loads.tokensAhead(server, 0), 500);
  peers = [];
  t.is(loads.running(server), 0);
  t.is(loads.tokensAhead(server, 0), 0);
});

// A count that outlived its request kept the server's capacity for good.
test('a request is counted until it ends, also by an exception', async (t) => {
  const loads = createLoadTracker(createManualClock(), () => []);
  const work = { rank: 0, promptTokens: 500 };
  const running: number[] = [];
  const run = (): Promise<never> => {
    running.push(loads.running(server), loads.tokensAhead(server, 0));
    throw new Error('unexpected');
  };
  await t.throwsAsync(loads.trackWhile(server, work, run), { message: 'unexpected' });
  await t.throwsAsync(
    loads.trackWhile(server, work, async ({ responseStarted }) => {
      responseStarted();
      running.push(loads.running(server), loads.tokensAhead(server, 0));
      throw new Error('unexpected');
    }),
  );
  t.deepEqual(running, [1, 500, 1, 0]);
  t.is(loads.running(server), 0);
  t.is(loads.tokensAhead(server, 0), 0);
  t.is(loads.ownLoads().size, 0);
});

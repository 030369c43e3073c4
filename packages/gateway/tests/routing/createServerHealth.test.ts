import test from 'ava';
import { createManualClock } from '@camphorbarrow/core';
import { createServerHealth } from '../../src/index.js';
import { buildServer } from '../support/builders.js';

test('a server that refused a connection is left until a heartbeat shows that it lives', (t) => {
  const clock = createManualClock();
  const health = createServerHealth(clock);
  const server = buildServer();
  clock.advance(100);
  health.recordUnreachable(server.incarnation);
  clock.advance(5_000);
  t.false(health.isReachable(server));
  t.true(health.isReachable({ ...server, lastHeartbeatAtMs: clock.monotonicMs() }));
});

test('the pause grows while a server with heartbeats stays unreachable', (t) => {
  const clock = createManualClock();
  const health = createServerHealth(clock);
  const alive = () => ({ ...buildServer(), heardAtMs: clock.monotonicMs() });
  const pauses = [1, 2, 3].map(() => {
    health.recordUnreachable(buildServer().incarnation);
    let pauseMs = 0;
    do {
      clock.advance(100);
      pauseMs += 100;
    } while (!health.isReachable(alive()));
    return pauseMs;
  });
  t.deepEqual(pauses, [800, 1_600, 3_200]);
});

test('a silent request does not condemn a server that answers others', (t) => {
  const clock = createManualClock();
  const health = createServerHealth(clock);
  const server = buildServer();
  const sentAtMs = clock.monotonicMs();
  clock.advance(500);
  health.recordResponseStart(server.incarnation);
  clock.advance(500);
  health.recordTimeout(server.incarnation, sentAtMs);
  t.true(health.isReachable(server));
  health.recordTimeout(server.incarnation, clock.monotonicMs());
  t.false(health.isReachable(server));
});

test('applications that fail a few of their requests are not avoided', (t) => {
  const clock = createManualClock();
  const health = createServerHealth(clock);
  for (let index = 0; index < 100; index += 1) {
    if (index % 7 === 0) {
      health.recordFailure('s');
    } else {
      health.recordSuccess('s');
    }
  }
  t.is(health.penaltyMs('s'), 0);
  for (let index = 0; index < 20; index += 1) {
    health.recordFailure('s');
  }
  t.true(health.penaltyMs('s') > 500);
});

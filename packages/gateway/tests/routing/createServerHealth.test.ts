import test from 'ava';
import { createManualClock } from '@camphorbarrow/core';
import { createServerHealth } from '../../src/index.js';
import { buildServer } from '../support/builders.js';

test('a server that refused a connection is avoided until it sends a heartbeat', (t) => {
  const clock = createManualClock();
  const health = createServerHealth(clock);
  const server = buildServer();
  clock.advance(100);
  health.recordUnreachable(server.incarnation);
  clock.advance(5_000);
  t.false(health.isReachable(server));
  t.true(health.isReachable({ ...server, lastHeartbeatAtMs: clock.monotonicMs() }));
});

test('the backoff grows while a server with heartbeats stays unreachable', (t) => {
  const clock = createManualClock();
  const health = createServerHealth(clock);
  const alive = () => ({ ...buildServer(), lastHeartbeatAtMs: clock.monotonicMs() });
  const backoffs = [1, 2, 3].map(() => {
    health.recordUnreachable(buildServer().incarnation);
    let backoffMs = 0;
    do {
      clock.advance(100);
      backoffMs += 100;
    } while (!health.isReachable(alive()));
    return backoffMs;
  });
  t.deepEqual(backoffs, [800, 1_600, 3_200]);
});

test('a request timeout does not make a server unreachable that responds to others', (t) => {
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

test('applications that fail a few of their requests get no penalty', (t) => {
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

// On a store whose entries change only with more than the heartbeat, a server that had been silent for
// a second was not used again.
test('an unreachable server whose entry stays without heartbeats is tried again', (t) => {
  const clock = createManualClock();
  const health = createServerHealth(clock);
  const server = buildServer();
  health.recordUnreachable(server.incarnation);
  clock.advance(5_000);
  t.false(health.isReachable(server));
  clock.advance(1_000);
  t.true(health.isReachable(server));
  health.recordUnreachable(server.incarnation);
  t.false(health.isReachable(server));
});

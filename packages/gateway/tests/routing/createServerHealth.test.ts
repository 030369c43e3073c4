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

const COLD_START_MS = 3_000;

// While the store was down, no heartbeat said that a server was cold, and its start went unnoticed.
test('a lost server may be cold after its first complete response', (t) => {
  const clock = createManualClock();
  const health = createServerHealth(clock);
  const server = buildServer();
  clock.advance(100);
  t.is(health.coldUntilMs(server, COLD_START_MS), 0);
  health.recordUnreachable(server.incarnation);
  const lostAtMs = clock.monotonicMs();
  clock.advance(7_000);
  t.true(health.isReachable(server));
  t.true(health.coldUntilMs(server, COLD_START_MS) > clock.monotonicMs());
  health.recordSuccess(server.incarnation);
  clock.advance(1_000);
  health.recordSuccess(server.incarnation);
  t.is(health.coldUntilMs(server, COLD_START_MS), lostAtMs + 10_000);
  clock.advance(10_000);
  health.recordUnreachable(server.incarnation);
  const alive = { ...server, lastHeartbeatAtMs: clock.monotonicMs() + 1 };
  t.is(health.coldUntilMs(alive, COLD_START_MS), 0);
});

test('a server whose end another host has seen is avoided, and may be cold after it', (t) => {
  const clock = createManualClock();
  const health = createServerHealth(clock);
  const server = buildServer();
  clock.advance(1_000);
  const report = (): void => health.recordEnd(server.incarnation, 900);
  report();
  t.false(health.isReachable(server));
  clock.advance(6_500);
  t.true(health.isReachable(server));
  t.true(health.coldUntilMs(server, COLD_START_MS) > clock.monotonicMs());
  health.recordSuccess(server.incarnation);
  report();
  t.true(health.isReachable(server));
  t.is(health.coldUntilMs(server, COLD_START_MS), clock.monotonicMs() + COLD_START_MS);
});

import test from 'ava';
import { asId, createManualClock } from '@camphorbarrow/core';
import type { HostId } from '@camphorbarrow/core';
import { createServerRateLimiter } from '../../src/index.js';
import { buildServer } from '../support/builders.js';

const COLD_PER_S = 2.3;
/** Limit of the deployments: cold_per_s x cold_over + cold_slack. */
const MAX_REQUESTS_PER_SECOND = COLD_PER_S * 1.5 + 3;

test('all hosts together do not exceed the request rate of a cold server in any second', (t) => {
  const clock = createManualClock();
  const hosts = Array.from({ length: 28 }, (_, index) => asId<HostId>(`host-${index}`));
  const limiters = hosts.map((ownId) =>
    createServerRateLimiter({
      clock,
      ownId,
      regionHosts: () => hosts,
      limitOf: () => undefined,
    }),
  );
  const server = { ...buildServer(), coldUntilMs: 10_000 };
  const sentAtMs: number[] = [];
  for (let atMs = 0; atMs < 10_000; atMs += 40) {
    limiters
      .filter((limiter) => limiter.permits(server, COLD_PER_S))
      .forEach((limiter) => {
        limiter.recordSend(server);
        sentAtMs.push(atMs);
      });
    clock.advance(40);
  }
  const maximum = Math.max(
    ...sentAtMs.map((from) => sentAtMs.filter((at) => at >= from && at < from + 1_000).length),
  );
  t.true(maximum <= MAX_REQUESTS_PER_SECOND, `${maximum} in a second`);
  t.true(sentAtMs.length >= 15, 'the server gets enough requests to warm up');
});

test('a warm server has no limit', (t) => {
  const clock = createManualClock();
  const ownId = asId<HostId>('host');
  const limiter = createServerRateLimiter({
    clock,
    ownId,
    regionHosts: () => [ownId],
    limitOf: () => undefined,
  });
  const server = buildServer();
  limiter.recordSend(server);
  t.true(limiter.permits(server, COLD_PER_S));
});

const LIMIT_WINDOW_MS = 4_000;

/** Allowed requests in `LIMIT_WINDOW_MS`: 1.5 times the limit, and five. */
const allowedRequests = (limit: number): number => 1.5 * limit * (LIMIT_WINDOW_MS / 1_000) + 5;
const STEP_MS = 20;

/** Sends as many requests as the limiters permit, with a limit and hosts that change over time. */
function sendAll(options: {
  readonly limitAt: (atMs: number) => number;
  readonly hostCountAt: (atMs: number) => number;
  readonly durationMs: number;
}): readonly number[] {
  const clock = createManualClock();
  const hosts = Array.from({ length: 28 }, (_, index) => asId<HostId>(`host-${index}`));
  const activeHosts = (): readonly HostId[] =>
    hosts.slice(0, options.hostCountAt(clock.monotonicMs()));
  const limiters = hosts.map((ownId) =>
    createServerRateLimiter({
      clock,
      ownId,
      regionHosts: activeHosts,
      limitOf: () => options.limitAt(clock.monotonicMs()),
    }),
  );
  const server = buildServer();
  const sentAtMs: number[] = [];
  for (let atMs = 0; atMs < options.durationMs; atMs += STEP_MS) {
    limiters
      .filter((limiter) => limiter.permits(server, COLD_PER_S))
      .forEach((limiter) => {
        limiter.recordSend(server);
        sentAtMs.push(atMs);
      });
    clock.advance(STEP_MS);
  }
  return sentAtMs;
}

const maximumInWindow = (sentAtMs: readonly number[]): number =>
  Math.max(
    ...sentAtMs.map(
      (from) => sentAtMs.filter((at) => at >= from && at < from + LIMIT_WINDOW_MS).length,
    ),
  );

for (const limit of [0, 0.3, 1.2, 6.1, 40]) {
  for (const hostCount of [1, 2, 3, 28]) {
    test(`${hostCount} hosts together keep to a server's limit of ${limit}/s and use most of it`, (t) => {
      const sentAtMs = sendAll({
        limitAt: () => limit,
        hostCountAt: () => hostCount,
        durationMs: 20_000,
      });
      const maximum = maximumInWindow(sentAtMs);
      t.true(maximum <= allowedRequests(limit), `${maximum} in 4 s`);
      t.true(sentAtMs.length >= Math.max(2, 0.8 * limit * 20), `${sentAtMs.length} in all`);
    });
  }
}

test('hosts that come and go keep to the limit of a server', (t) => {
  const sentAtMs = sendAll({
    limitAt: () => 1.2,
    hostCountAt: (atMs) => (Math.floor(atMs / 5_000) % 2 === 0 ? 28 : 3),
    durationMs: 40_000,
  });
  t.true(maximumInWindow(sentAtMs) <= allowedRequests(1.2));
});

test('a limit that falls takes effect at once', (t) => {
  const sentAtMs = sendAll({
    limitAt: (atMs) => (atMs < 8_000 ? 30 : 1),
    hostCountAt: () => 28,
    durationMs: 30_000,
  });
  t.true(maximumInWindow(sentAtMs.filter((atMs) => atMs >= 8_000)) <= allowedRequests(1));
});

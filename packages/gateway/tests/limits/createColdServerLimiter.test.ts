import test from 'ava';
import { asId, createManualClock } from '@camphorbarrow/core';
import type { HostId } from '@camphorbarrow/core';
import { createColdServerLimiter } from '../../src/index.js';
import { buildServer } from '../support/builders.js';

const COLD_PER_S = 2.3;
/** Limit of the deployments: cold_per_s x cold_over + cold_slack. */
const MAX_REQUESTS_PER_SECOND = COLD_PER_S * 1.5 + 3;

test('all hosts together do not exceed the request rate of a cold server in any second', (t) => {
  const clock = createManualClock();
  const hosts = Array.from({ length: 28 }, (_, index) => asId<HostId>(`host-${index}`));
  const limiters = hosts.map((ownId) =>
    createColdServerLimiter({ clock, ownId, regionHosts: () => hosts }),
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
  const limiter = createColdServerLimiter({ clock, ownId, regionHosts: () => [ownId] });
  const server = buildServer();
  limiter.recordSend(server);
  t.true(limiter.permits(server, COLD_PER_S));
});

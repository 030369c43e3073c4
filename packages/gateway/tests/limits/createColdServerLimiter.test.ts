import test from 'ava';
import { asId, createManualClock } from '@camphorbarrow/core';
import type { HostId } from '@camphorbarrow/core';
import { createColdServerLimiter } from '../../src/index.js';
import { buildServer } from '../support/builders.js';

const COLD_PER_S = 2.3;
/** Bound of the deployments: cold_per_s x cold_over + cold_slack. */
const MAX_IN_A_SECOND = COLD_PER_S * 1.5 + 3;

test('hosts together never send more to a cold server in a second than it bears', (t) => {
  const clock = createManualClock();
  const hosts = Array.from({ length: 28 }, (_, index) => asId<HostId>(`host-${index}`));
  const pacers = hosts.map((ownId) =>
    createColdServerLimiter({ clock, ownId, regionHosts: () => hosts }),
  );
  const server = { ...buildServer(), coldUntilMs: 10_000 };
  const sentAtMs: number[] = [];
  for (let atMs = 0; atMs < 10_000; atMs += 40) {
    pacers
      .filter((pacer) => pacer.permits(server, COLD_PER_S))
      .forEach((pacer) => {
        pacer.recordSend(server);
        sentAtMs.push(atMs);
      });
    clock.advance(40);
  }
  const most = Math.max(
    ...sentAtMs.map((from) => sentAtMs.filter((at) => at >= from && at < from + 1_000).length),
  );
  t.true(most <= MAX_IN_A_SECOND, `${most} in a second`);
  t.true(sentAtMs.length >= 15, 'the server is warmed up');
});

test('a warm server has no limit', (t) => {
  const clock = createManualClock();
  const ownId = asId<HostId>('host');
  const pacer = createColdServerLimiter({ clock, ownId, regionHosts: () => [ownId] });
  const server = buildServer();
  pacer.recordSend(server);
  t.true(pacer.permits(server, COLD_PER_S));
});

import test from 'ava';
import { asId, createManualClock } from '@camphorbarrow/core';
import type { LogSink, MetricsSink } from '@camphorbarrow/core';
import { createServerLimits } from '../../src/index.js';
import type { ServerLimits } from '../../src/index.js';
import { buildServer } from '../support/builders.js';

const silentLog: LogSink = { info() {}, warn() {}, error() {} };
const discardingMetrics: MetricsSink = {
  increment() {},
  gauge() {},
  timingMs() {},
  close: async () => undefined,
};
const server = buildServer();

function createSubjects(): { clock: ReturnType<typeof createManualClock>; hosts: ServerLimits[] } {
  const clock = createManualClock();
  const hosts = [1, 2, 3].map(() =>
    createServerLimits({ clock, log: silentLog, metrics: discardingMetrics }),
  );
  clock.advance(10_000);
  return { clock, hosts };
}

test('a limit lasts until a response of the server names none', (t) => {
  const { hosts } = createSubjects();
  const [host] = hosts;
  host?.recordResponse(server, 1.2);
  t.is(host?.limitOf(server), 1.2);
  host?.recordResponse(server, 3);
  t.is(host?.limitOf(server), 3);
  host?.recordResponse(server, undefined);
  t.is(host?.limitOf(server), undefined);
});

test('hosts learn of a limit and of its end from each other, also through a third one', (t) => {
  const { clock, hosts } = createSubjects();
  const [first, second, third] = hosts;
  first?.recordResponse(server, 1.2);
  second?.mergeReports(first?.reports() ?? []);
  third?.mergeReports(second?.reports() ?? []);
  t.is(third?.limitOf(server), 1.2);
  clock.advance(2_000);
  third?.recordResponse(server, undefined);
  first?.mergeReports(third?.reports() ?? []);
  t.is(first?.limitOf(server), undefined);
});

test('a limit is checked again when no host has heard from its server for a while', (t) => {
  const { clock, hosts } = createSubjects();
  const [first, second] = hosts;
  first?.recordResponse(server, 1.2);
  t.false(first?.isOutdated(server));
  clock.advance(4_000);
  t.true(first?.isOutdated(server));
  second?.recordResponse(server, 1.2);
  first?.mergeReports(second?.reports() ?? []);
  t.false(first?.isOutdated(server));
});

test('an outdated report does not bring a limit back', (t) => {
  const { clock, hosts } = createSubjects();
  const [first, second] = hosts;
  first?.recordResponse(server, 1.2);
  clock.advance(5_000);
  second?.recordResponse(server, 1.2);
  second?.recordResponse(server, undefined);
  second?.mergeReports(first?.reports() ?? []);
  t.is(second?.limitOf(server), undefined);
});

test('the limit of a process does not hold for the one that replaces it', (t) => {
  const { hosts } = createSubjects();
  const [host] = hosts;
  host?.recordResponse(server, 1.2);
  t.is(host?.limitOf(buildServer({ startedAtMs: 2_000 })), undefined);
  host?.retain([]);
  t.is(host?.limitOf(server), undefined);
});

test('reports are bounded', (t) => {
  const { hosts } = createSubjects();
  const [host] = hosts;
  for (let index = 0; index < 300; index += 1) {
    host?.recordResponse(buildServer({ id: asId(`server-${index}`) }), 1);
  }
  t.true((host?.reports().length ?? Infinity) <= 64);
});

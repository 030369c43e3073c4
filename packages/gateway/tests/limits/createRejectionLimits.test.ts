import test from 'ava';
import { asId, createManualClock } from '@camphorbarrow/core';
import type { ServiceName } from '../../src/index.js';
import { createRejectionLimits } from '../../src/index.js';
import { buildServer } from '../support/builders.js';
import { discardingMetrics, silentLog } from '../support/silentSinks.js';

const server = buildServer({ id: asId('server-1') });
const neighbour = buildServer({ id: asId('server-2') });
const restarted = buildServer({ id: asId('server-1'), startedAtMs: 9_000 });
const stranger = buildServer({ id: asId('server-3'), service: asId<ServiceName>('other') });

function createSubjects() {
  const clock = createManualClock();
  const [first, second] = [1, 2].map(() =>
    createRejectionLimits({ clock, log: silentLog, metrics: discardingMetrics }),
  );
  if (first === undefined || second === undefined) {
    throw new Error('Too few hosts.');
  }
  clock.advance(100_000);
  return { clock, first, second };
}

test('a server that has said nothing since its start has the lowest limit of its service', (t) => {
  const { clock, first } = createSubjects();
  first.recordResponse(server, 5);
  t.is(first.limitOf(neighbour), 5);
  t.is(first.limitOf(restarted), 5);
  t.is(first.limitOf(stranger), undefined);
  first.recordResponse(neighbour, 3);
  t.deepEqual([server, neighbour, restarted].map(first.limitOf), [5, 3, 3]);
  // All servers of the service are replaced at once.
  clock.advance(5_000);
  first.retain([]);
  t.is(first.limitOf(restarted), 3);
  clock.advance(60_000);
  first.retain([]);
  t.is(first.limitOf(restarted), undefined);
});

test('a limit ends with a response without one, also where it was that of the service', (t) => {
  const { clock, first, second } = createSubjects();
  first.recordResponse(server, 5);
  second.mergeReports(first.reports());
  t.is(second.limitOf(server), 5);
  clock.advance(1_000);
  second.recordResponse(neighbour, undefined);
  t.is(second.limitOf(neighbour), undefined);
  t.is(second.limitOf(server), 5);
  second.recordResponse(server, undefined);
  t.is(second.limitOf(server), undefined);
  second.mergeReports(first.reports());
  t.is(second.limitOf(server), undefined, 'the report is older than the response');
  first.mergeReports(second.reports());
  t.is(first.limitOf(server), undefined);
  t.is(first.limitOf(restarted), undefined);
});

test('a limit that no host has heard of for a minute ends', (t) => {
  const { clock, first } = createSubjects();
  first.recordResponse(server, 5);
  clock.advance(59_000);
  t.is(first.limitOf(server), 5);
  clock.advance(2_000);
  t.is(first.limitOf(server), undefined);
  t.is(first.reports().length, 0);
});

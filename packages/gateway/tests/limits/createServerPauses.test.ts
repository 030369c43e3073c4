import test from 'ava';
import { asId, createManualClock } from '@camphorbarrow/core';
import type { LogFields } from '@camphorbarrow/core';
import { createServerPauses } from '../../src/index.js';
import { buildServer } from '../support/builders.js';
import { discardingMetrics, silentLog } from '../support/silentSinks.js';

const server = buildServer();
const rejection = { status: 503, retryAfterMs: 3_000 };

function setUp() {
  const clock = createManualClock();
  const lines: [string, LogFields | undefined][] = [];
  const log = {
    ...silentLog,
    info: (event: string, fields?: LogFields) => lines.push([event, fields]),
  };
  return { clock, lines, pauses: createServerPauses({ clock, log, metrics: discardingMetrics }) };
}

test('a pause holds for one server and ends by itself', (t) => {
  const { clock, pauses } = setUp();
  pauses.recordRejection(server, rejection);
  t.is(pauses.remainingMs(server), 3_000);
  t.is(pauses.remainingMs(buildServer({ id: asId('server-2') })), 0);
  clock.advance(2_999);
  t.is(pauses.remainingMs(server), 1);
  clock.advance(1);
  t.is(pauses.remainingMs(server), 0);
});

test('a later rejection can lengthen a pause but not shorten it', (t) => {
  const { clock, pauses } = setUp();
  pauses.recordRejection(server, rejection);
  pauses.recordRejection(server, { status: 503, retryAfterMs: 0 });
  pauses.recordRejection(server, { status: 503, retryAfterMs: 500 });
  t.is(pauses.remainingMs(server), 3_000);
  clock.advance(1_000);
  pauses.recordRejection(server, rejection);
  t.is(pauses.remainingMs(server), 3_000);
});

test('a pause of no length is none', (t) => {
  const { lines, pauses } = setUp();
  pauses.recordRejection(server, { status: 503, retryAfterMs: 0 });
  t.is(pauses.remainingMs(server), 0);
  t.deepEqual(lines, []);
});

test('a wrong entry does not end a pause, a later start does', (t) => {
  const { pauses } = setUp();
  pauses.recordRejection(server, rejection);
  t.is(pauses.remainingMs(buildServer({ startedAtMs: undefined, sequence: 0 })), 3_000);
  t.is(pauses.remainingMs(buildServer({ startedAtMs: 900 })), 3_000);
  t.is(pauses.remainingMs(buildServer({ startedAtMs: 1_001 })), 0);
});

test('a pause is bounded, and the log says that it was cut and when it ended', (t) => {
  const { clock, lines, pauses } = setUp();
  const retryAfterMs = Number.MAX_SAFE_INTEGER;
  pauses.recordRejection(server, { status: 503, retryAfterMs });
  const pauseMs = pauses.remainingMs(server);
  t.true(pauseMs >= 60_000 && pauseMs <= 3_600_000);
  pauses.endElapsed();
  clock.advance(pauseMs);
  pauses.endElapsed();
  t.like(lines, [
    ['server-paused', { serverId: 'server-1', status: 503, retryAfterMs, pauseMs, isCut: true }],
    ['server-pause-ended', { serverId: 'server-1' }],
  ]);
  t.is(lines.length, 2);
});

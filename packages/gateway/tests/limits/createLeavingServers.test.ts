import test from 'ava';
import { asId, createManualClock } from '@camphorbarrow/core';
import { createLeavingServers } from '../../src/index.js';
import type { LeavingServers, ServerRegistration } from '../../src/index.js';
import { buildServer } from '../support/builders.js';
import { discardingMetrics, silentLog } from '../support/silentSinks.js';

const HOUR_MS = 3_600_000;

function createSubject(clock = createManualClock()): LeavingServers {
  return createLeavingServers({ clock, log: silentLog, metrics: discardingMetrics });
}

/** Whether a server with the second entry is leaving after a response under the first one. */
function isLeavingAfter(
  before: Partial<ServerRegistration>,
  after: Partial<ServerRegistration>,
): boolean {
  const servers = createSubject();
  servers.recordResponse(buildServer(before), 200);
  return servers.isLeaving(buildServer(after));
}

const moved = { endpoint: { host: '10.0.0.9', port: 8_000 } };
const withoutStart = { startedAtMs: undefined };

test('a response that says so marks its server only, and an entry that says so does too', (t) => {
  const servers = createSubject();
  t.false(servers.isLeaving(buildServer()));
  servers.recordResponse(buildServer(), 503);
  t.true(servers.isLeaving(buildServer()));
  t.false(servers.isLeaving(buildServer({ id: asId('server-2') })), 'another id at its address');
  t.true(servers.isLeaving(buildServer({ id: asId('server-2'), state: 'draining' })));
});

test('an entry that is wrong or outdated does not bring a leaving server back', (t) => {
  t.true(isLeavingAfter({}, moved));
  t.true(isLeavingAfter({}, { service: asId('other'), slots: 1, sequence: 0 }));
  t.true(isLeavingAfter({}, { startedAtMs: 900 }), 'an earlier start');
  t.true(isLeavingAfter({}, { ...withoutStart, sequence: 0 }));
  t.true(isLeavingAfter(withoutStart, { ...withoutStart, sequence: 2 }));
  t.true(isLeavingAfter(withoutStart, { startedAtMs: 1_000 }));
});

test('a later start under the same id is free of the mark', (t) => {
  t.false(isLeavingAfter({}, { startedAtMs: 1_001 }));
  t.false(isLeavingAfter({}, { startedAtMs: 1_001, ...moved }));
  t.false(isLeavingAfter({ ...withoutStart, sequence: 5 }, { ...withoutStart, sequence: 1 }));
  t.false(isLeavingAfter(withoutStart, { ...withoutStart, ...moved }));
});

test('a later start can be marked again', (t) => {
  const servers = createSubject();
  servers.recordResponse(buildServer(), 200);
  servers.recordResponse(buildServer({ startedAtMs: 2_000 }), 200);
  t.true(servers.isLeaving(buildServer({ startedAtMs: 2_000 })));
});

test('a server whose entry is missing for a while stays marked; marks do not pile up', (t) => {
  const clock = createManualClock();
  const servers = createSubject(clock);
  servers.recordResponse(buildServer(), 200);
  clock.advance(60_000);
  servers.retain([]);
  t.true(servers.isLeaving(buildServer()));
  clock.advance(HOUR_MS);
  servers.retain([buildServer()]);
  t.true(servers.isLeaving(buildServer()), 'while its entry is there');
  servers.retain([buildServer({ startedAtMs: 2_000 })]);
  t.false(servers.isLeaving(buildServer()));
});

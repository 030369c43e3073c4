import test from 'ava';
import { asId, createManualClock, createPartSuspicion } from '@camphorbarrow/core';
import type { Fingerprint, LogSink } from '@camphorbarrow/core';
import { createCrashGuard } from '../../src/index.js';
import type { BrokenRequest, CrashGuard } from '../../src/index.js';
import { buildServer } from '../support/builders.js';

const silentLog: LogSink = { info() {}, warn() {}, error() {} };
const crashing = asId<Fingerprint>('crashing');
const innocent = asId<Fingerprint>('innocent');

const broken = (fingerprint: Fingerprint): BrokenRequest => ({
  fingerprint,
  hasStarted: false,
  sharedParts: [],
  trialParts: [],
});

function createGuard(clock = createManualClock()): CrashGuard {
  return createCrashGuard({
    clock,
    log: silentLog,
    suspicion: createPartSuspicion(clock),
    refusesConnections: async () => false,
  });
}

function serverNumber(index: number) {
  return buildServer({ id: asId(`server-${index}`), startedAtMs: index });
}

test('a request that ran on several crashed servers is quarantined, but not one that ran beside it once', (t) => {
  const guard = createGuard();
  [1, 2, 3].forEach((index) => {
    const server = serverNumber(index);
    guard.recordBrokenConnection(server, broken(crashing));
    if (index === 1) {
      guard.recordBrokenConnection(server, broken(innocent));
    }
    guard.recordServerGone(server);
  });
  t.true(guard.isQuarantined(() => crashing));
  t.false(guard.isQuarantined(() => innocent));
});

test('a lost response of a server that keeps running quarantines no request', (t) => {
  const clock = createManualClock();
  const guard = createGuard(clock);
  [1, 2, 3].forEach((index) => {
    guard.recordBrokenConnection(serverNumber(index), broken(crashing));
    clock.advance(6_000);
    guard.recordServerGone(serverNumber(index));
  });
  t.false(guard.isQuarantined(() => crashing));
});

test('hosts that receive the crash reports quarantine the request too', (t) => {
  const clock = createManualClock();
  const guards = [1, 2].map(() => createGuard(clock));
  const [first, second] = guards;
  [1, 2, 3].forEach((index) => {
    const guard = guards[index % 2];
    guard?.recordBrokenConnection(serverNumber(index), broken(crashing));
    guard?.retain(new Set());
  });
  second?.mergeReports(first?.recentReports() ?? []);
  t.true(second?.isQuarantined(() => crashing));
});

test('a completed run clears a request', (t) => {
  const guard = createGuard();
  [1, 2, 3].forEach((index) => {
    guard.recordBrokenConnection(serverNumber(index), broken(crashing));
    guard.recordServerGone(serverNumber(index));
  });
  guard.recordCompletion(() => crashing);
  t.false(guard.isQuarantined(() => crashing));
});

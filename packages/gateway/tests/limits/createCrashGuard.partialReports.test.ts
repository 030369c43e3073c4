import test from 'ava';
import { asId, createManualClock, createPartSuspicion } from '@camphorbarrow/core';
import type { Fingerprint, LogSink, ManualClock } from '@camphorbarrow/core';
import { createCrashGuard } from '../../src/index.js';
import type { CrashGuard } from '../../src/index.js';
import { buildServer } from '../support/builders.js';

const silentLog: LogSink = { info() {}, warn() {}, error() {} };
const crashing = asId<Fingerprint>('crashing');
const innocent = asId<Fingerprint>('innocent');

const createGuard = (clock: ManualClock): CrashGuard =>
  createCrashGuard({
    clock,
    log: silentLog,
    suspicion: createPartSuspicion(clock),
    refusesConnections: async () => false,
  });

/** Crashes a server that ran the request of this host. */
function crashServer(guard: CrashGuard, index: number, fingerprint: Fingerprint): void {
  const server = buildServer({ id: asId(`server-${index}`), startedAtMs: index });
  guard.recordBrokenConnection(server, {
    fingerprint,
    wasSuspect: guard.isSuspect(() => fingerprint),
    hasStarted: false,
    sharedParts: [],
    trialParts: [],
  });
  guard.recordServerGone(server);
}

const isQuarantined = (guard: CrashGuard, fingerprint: Fingerprint): boolean =>
  guard.quarantineMs(() => fingerprint) > 0;

// Each host reports its own requests only; one that missed a report took the others for all.
test('a host that misses a part of the crash reports does not quarantine an innocent request', (t) => {
  const clock = createManualClock();
  const [first, second, third] = [createGuard(clock), createGuard(clock), createGuard(clock)];
  for (const server of [1, 2]) {
    crashServer(first, server, crashing);
    crashServer(second, server, innocent);
    first.mergeReports(second.reports());
    second.mergeReports(first.reports());
  }
  third.mergeReports(second.reports());
  t.false(isQuarantined(second, innocent));
  t.false(isQuarantined(third, innocent));
});

// The report of its own request took the place of the one about the quarantined request.
test('a host whose request was running beside a quarantined one reports the quarantine', (t) => {
  const clock = createManualClock();
  const [first, second, third] = [createGuard(clock), createGuard(clock), createGuard(clock)];
  crashServer(first, 1, crashing);
  crashServer(first, 2, crashing);
  crashServer(second, 2, innocent);
  second.mergeReports(first.reports());
  t.true(isQuarantined(second, crashing));
  third.mergeReports(second.reports());
  t.true(isQuarantined(third, crashing));
});

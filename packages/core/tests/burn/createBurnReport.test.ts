import test from 'ava';
import { createBurnCounters } from '../../src/burn/createBurnCounters.js';
import { createBurnReport } from '../../src/burn/createBurnReport.js';
import type { HostBurnCounts } from '../../src/burn/HostBurnCounts.js';
import { createFleetDocument } from '../../src/config/createFleetDocument.js';
import type { FleetDocument } from '../../src/config/FleetDocument.js';
import { fleetDocumentSchema } from '../../src/config/fleetDocumentSchema.js';
import type { HostId } from '../../src/ids/HostId.js';
import type { RegionId } from '../../src/ids/RegionId.js';
import { asId } from '../../src/ids/asId.js';
import { createManualClock } from '../../src/time/createManualClock.js';

const MS_PER_MINUTE = 60_000;
const SIX_HOURS_MS = 360 * MS_PER_MINUTE;

function documentWith(exceptions: readonly object[] = []): FleetDocument {
  return createFleetDocument(
    fleetDocumentSchema.parse({ version: 1, changeId: 'c', defaults: {}, exceptions }),
  );
}

function createHost(minutesOfTraffic: number, badRequestsPerTen: number) {
  const clock = createManualClock();
  clock.advance(2 * SIX_HOURS_MS);
  const counters = createBurnCounters(clock);
  for (let minute = 0; minute < minutesOfTraffic; minute += 1) {
    for (let request = 0; request < 10; request += 1) {
      counters.record('urgent', request < badRequestsPerTen ? 'late-first-token' : 'good');
    }
    clock.advance(MS_PER_MINUTE);
  }
  const host: HostBurnCounts = {
    hostId: asId<HostId>('norte-1'),
    regionId: asId<RegionId>('norte'),
    startedAtMs: 0,
    minutes: counters.minutes(),
  };
  return { clock, host };
}

function urgentRow(host: HostBurnCounts, nowMs: number, document = documentWith()) {
  const report = createBurnReport({ nowMs, document, hosts: [host], unresponsiveHosts: [] });
  return report.rows.find((row) => row.serviceClass === 'urgent');
}

test('the burn rate is the ratio of bad requests divided by the allowed ratio', (t) => {
  const { clock, host } = createHost(60, 1);
  const row = urgentRow(host, clock.nowMs() - 1);
  t.is(row?.windows.find(({ minutes }) => minutes === 60)?.burnRate.toFixed(6), '2.000000');
  t.is(row?.alarm, 'none');
});

test('an ongoing fast burn raises the fast alarm, and a past one does not', (t) => {
  const { clock, host } = createHost(60, 9);
  t.is(urgentRow(host, clock.nowMs() - 1)?.alarm, 'fast');
  t.not(urgentRow(host, clock.nowMs() + 10 * MS_PER_MINUTE)?.alarm, 'fast');
});

test('a slow burn raises the slow alarm', (t) => {
  const { clock, host } = createHost(360, 4);
  t.is(urgentRow(host, clock.nowMs() - 1)?.alarm, 'slow');
});

test('failures caused by callers do not consume error budget', (t) => {
  const clock = createManualClock();
  const counters = createBurnCounters(clock);
  counters.record('urgent', 'caller');
  counters.record('urgent', 'good');
  const { host } = createHost(0, 0);
  const row = urgentRow({ ...host, minutes: counters.minutes() }, clock.nowMs());
  t.is(row?.windows[0]?.requests, 1);
  t.is(row?.windows[0]?.badRequests, 0);
});

test('the report lists current exceptions, unresponsive hosts and recently started hosts', (t) => {
  const { clock, host } = createHost(1, 0);
  const exception = { id: 'slow-costa', reason: 'Link repair', author: 'ana', scope: {}, set: {} };
  const nowMs = clock.nowMs();
  const report = createBurnReport({
    nowMs,
    document: documentWith([exception]),
    hosts: [{ ...host, startedAtMs: nowMs - MS_PER_MINUTE }],
    unresponsiveHosts: [asId<HostId>('sul-1')],
  });
  t.deepEqual(report.rows[0]?.exceptions, [{ id: 'slow-costa', reason: 'Link repair' }]);
  t.is(report.missing.length, 2);
});

test('the number of retained minutes is bounded', (t) => {
  const clock = createManualClock();
  const counters = createBurnCounters(clock);
  for (let minute = 0; minute < 1_000; minute += 1) {
    counters.record('urgent', 'good');
    clock.advance(MS_PER_MINUTE);
  }
  t.true(counters.minutes().length <= 361);
});

import test from 'ava';
import { asId, createManualClock } from '@camphorbarrow/core';
import { createVersionHistory, STREAM_RETENTION_MS } from '../../src/index.js';
import type { VersionReport } from '../../src/index.js';

const TRANSIT_MS = 40;
const INTERVAL_MS = 100;
const STEP_MS = 10;
const service = asId<VersionReport['service']>('model');
const report = (version: string): VersionReport => ({ service, version: asId(version), ageMs: 0 });

// Reports name an age without their transit, so that the version became newer with each host it passed.
test('hosts that tell each other of a version forget it when no server has it for long', (t) => {
  const clock = createManualClock();
  const histories = Array.from({ length: 4 }, () => createVersionHistory(clock));
  const inTransit: { arrivesAtMs: number; to: number; reports: readonly VersionReport[] }[] = [];
  histories.forEach((history) => ['v1', 'v2'].map(report).forEach(history.record));
  for (let atMs = 0; atMs < STREAM_RETENTION_MS + 10_000; atMs += STEP_MS) {
    clock.advance(STEP_MS);
    histories.forEach((history, from) => {
      history.record(report('v2'));
      if ((atMs / STEP_MS + 3 * from) % (INTERVAL_MS / STEP_MS) === 0) {
        histories.forEach((_, to) =>
          inTransit.push({ arrivesAtMs: atMs + TRANSIT_MS, to, reports: history.reports() }),
        );
      }
    });
    while (inTransit[0] !== undefined && inTransit[0].arrivesAtMs <= atMs) {
      const { to, reports } = inTransit.shift()!;
      histories[to]?.merge(reports);
    }
  }
  t.deepEqual(
    histories.map(({ isMixed }) => isMixed(service)),
    [false, false, false, false],
  );
});

// A heartbeat over the size of a datagram can't be sent, and its host seems to be gone.
test('the reports of many versions fit into a heartbeat, the latest ones first', (t) => {
  const clock = createManualClock();
  const history = createVersionHistory(clock);
  const longVersion = (index: number): string => `${index}`.padStart(200, 'v');
  for (let index = 0; index < 1_000; index += 1) {
    history.record(report(longVersion(index)));
    clock.advance(10);
  }
  const reports = history.reports();
  t.is(reports[0]?.version, asId<VersionReport['version']>(longVersion(999)));
  t.true(JSON.stringify(reports).length < 20_000);
});

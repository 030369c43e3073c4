import test from 'ava';
import { createManualClock } from '@camphorbarrow/core';
import type { LogFields } from '@camphorbarrow/core';
import { createReadiness } from '../../src/index.js';

test('what a host lacks is logged at a bounded rate, with the reason and the time, until it is ready', (t) => {
  const clock = createManualClock();
  const lines: (readonly [string, LogFields | undefined])[] = [];
  const write = (event: string, fields?: LogFields): void => {
    lines.push([event, fields]);
  };
  const gauges = new Map<string, number>();
  let reason = 'the store was not read yet';
  let hasTable = false;
  const readiness = createReadiness({
    clock,
    log: { info: write, warn: write, error: write },
    metrics: {
      increment() {},
      gauge: (name, value, tags) => gauges.set(`${name} ${tags?.need ?? ''}`, value),
      timingMs() {},
      close: async () => undefined,
    },
    needs: [
      { name: 'configuration', isMet: () => hasTable, reason: () => reason },
      { name: 'callers', isMet: () => true, reason: () => '' },
    ],
    configurationVersion: () => 7,
  });
  const reportFor = (seconds: number): void => {
    for (let second = 0; second < seconds; second += 1) {
      clock.advance(1_000);
      readiness.report();
    }
  };
  reportFor(10);
  reason = 'the store cannot be read: no response';
  reportFor(2);
  t.deepEqual(readiness.unmet(), [{ name: 'configuration', reason, waitedMs: 12_000 }]);
  t.is(gauges.get('readiness_lacks configuration'), 1);
  hasTable = true;
  reportFor(2);
  t.true(readiness.isMet());
  t.deepEqual(lines, [
    ['host-not-ready', { lacks: 'configuration: the store was not read yet', unreadyMs: 1_000 }],
    ['host-not-ready', { lacks: `configuration: ${reason}`, unreadyMs: 11_000 }],
    ['host-ready', { unreadyMs: 13_000, version: 7 }],
  ]);
  t.is(gauges.get('readiness_lacks configuration'), 0);
  t.is(gauges.get('readiness_lacks callers'), 0);
});

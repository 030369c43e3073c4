import test from 'ava';
import { findRunsReportedNotRun } from '../../src/checker/findRunsReportedNotRun.js';
import type { History } from '../../src/history/History.js';

const invoked = { kind: 'invoked', call: 'a', hosts: ['norte-1'], repeatable: false } as const;
const answered = { kind: 'answered', call: 'a' } as const;
const executed = {
  kind: 'executed',
  call: 'a',
  server: 'norte-orders-1',
  region: 'norte',
  atMs: 2,
} as const;

test('reports a call that ran and was reported as not run', (t) => {
  const history: History = [
    { ...invoked, atMs: 1, attempt: 1 },
    executed,
    { ...answered, atMs: 3, attempt: 1, label: 'not-run' },
  ];
  t.is(findRunsReportedNotRun(history).length, 1);
});

test('accepts a run with an attempt of unknown outcome and a call that did not run', (t) => {
  const unknownOutcome: History = [
    { ...invoked, atMs: 1, attempt: 1 },
    { ...answered, atMs: 1, attempt: 1, label: 'not-run' },
    { ...invoked, atMs: 1, attempt: 2 },
    executed,
    { ...answered, atMs: 3, attempt: 2, label: 'unknown' },
  ];
  t.deepEqual(findRunsReportedNotRun(unknownOutcome), []);
  const notRun: History = [
    { ...invoked, atMs: 1, attempt: 1 },
    { ...answered, atMs: 3, attempt: 1, label: 'not-run' },
  ];
  t.deepEqual(findRunsReportedNotRun(notRun), []);
});

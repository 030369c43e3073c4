import test from 'ava';
import { findLoops } from '../../src/checker/findLoops.js';
import type { History } from '../../src/history/History.js';

const arrived = { kind: 'arrived', atMs: 1, call: 'a', server: 's', region: 'norte' } as const;

test('reports a host visited twice, a third host and a request rejected as a loop', (t) => {
  t.is(findLoops([{ ...arrived, path: ['norte-1', 'norte-1'] }]).length, 1);
  t.is(findLoops([{ ...arrived, path: ['norte-1', 'sul-1', 'centro-1'] }]).length, 1);
  const rejected: History = [
    { kind: 'answered', atMs: 1, call: 'a', attempt: 1, label: 'not-run', code: 'loop-detected' },
  ];
  t.is(findLoops(rejected).length, 1);
});

test('accepts a request that was forwarded at most once', (t) => {
  t.deepEqual(findLoops([arrived, { ...arrived, path: ['norte-1', 'sul-1'] }]), []);
});

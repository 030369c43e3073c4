import test from 'ava';
import { findDuplicateRuns } from '../../src/checker/findDuplicateRuns.js';
import type { History } from '../../src/history/History.js';

const invoked = { kind: 'invoked', attempt: 1, hosts: ['norte-1'], repeatable: false } as const;
const executed = { kind: 'executed', server: 'norte-orders-1', region: 'norte' } as const;

test('reports an order that ran twice and two orders with one key that both ran', (t) => {
  const retried: History = [
    { ...invoked, atMs: 1, call: 'a', key: 'k' },
    { ...executed, atMs: 2, call: 'a' },
    { ...executed, atMs: 3, call: 'a', server: 'norte-orders-2' },
  ];
  t.is(findDuplicateRuns(retried).length, 1);
  const sharedKey: History = [
    { ...invoked, atMs: 1, call: 'a', key: 'k' },
    { ...invoked, atMs: 1, call: 'b', key: 'k' },
    { ...executed, atMs: 2, call: 'a' },
    { ...executed, atMs: 3, call: 'b' },
  ];
  t.is(findDuplicateRuns(sharedKey).length, 1);
});

test('accepts orders with different keys and retried status checks', (t) => {
  const history: History = [
    { ...invoked, atMs: 1, call: 'a', key: 'k' },
    { ...invoked, atMs: 1, call: 'b', key: 'l' },
    { ...invoked, atMs: 1, call: 'c', repeatable: true },
    { ...executed, atMs: 2, call: 'a' },
    { ...executed, atMs: 2, call: 'b' },
    { ...executed, atMs: 2, call: 'c' },
    { ...executed, atMs: 2, call: 'c' },
  ];
  t.deepEqual(findDuplicateRuns(history), []);
});

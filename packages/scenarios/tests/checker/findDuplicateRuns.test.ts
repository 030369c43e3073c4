import test from 'ava';
import { findDuplicateRuns } from '../../src/checker/findDuplicateRuns.js';
import type { History } from '../../src/history/History.js';

const invoked = { kind: 'invoked', attempt: 1, hosts: ['norte-1'], repeatable: false } as const;
const executed = { kind: 'executed', server: 'norte-orders-1', region: 'norte' } as const;

test('an order that ran twice and two orders of one key that both ran are found', (t) => {
  const resent: History = [
    { ...invoked, atMs: 1, call: 'a', key: 'k' },
    { ...executed, atMs: 2, call: 'a' },
    { ...executed, atMs: 3, call: 'a', server: 'norte-orders-2' },
  ];
  t.is(findDuplicateRuns(resent).length, 1);
  const shared: History = [
    { ...invoked, atMs: 1, call: 'a', key: 'k' },
    { ...invoked, atMs: 1, call: 'b', key: 'k' },
    { ...executed, atMs: 2, call: 'a' },
    { ...executed, atMs: 3, call: 'b' },
  ];
  t.is(findDuplicateRuns(shared).length, 1);
});

test('orders with keys of their own and repeated status checks are accepted', (t) => {
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

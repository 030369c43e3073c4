import test from 'ava';
import { findRequestsAfterLeaving } from '../../src/checker/findRequestsAfterLeaving.js';

const server = 'norte-engine-1';
const arrived = { kind: 'arrived', call: 'a', server, region: 'norte' } as const;
const leaving = { kind: 'leaving', atMs: 1_000, server } as const;

test('reports a request received more than 3 s after the server began leaving', (t) => {
  t.is(findRequestsAfterLeaving([leaving, { ...arrived, atMs: 4_001 }]).length, 1);
});

test('accepts requests within the bound, at other servers or after a restart', (t) => {
  t.deepEqual(
    findRequestsAfterLeaving([
      leaving,
      { ...arrived, atMs: 4_000 },
      { ...arrived, atMs: 5_000, server: 'norte-engine-2' },
      { kind: 'started', atMs: 6_000, server },
      { ...arrived, atMs: 7_000 },
    ]),
    [],
  );
});

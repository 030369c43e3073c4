import test from 'ava';
import { findConfigReversals } from '../../src/checker/findConfigReversals.js';

const config = { kind: 'config', host: 'norte-1', pid: 1 } as const;

test('a process that goes back to a lower version is found', (t) => {
  const history = [3, 4, 2].map((version, atMs) => ({ ...config, atMs, version }));
  t.is(findConfigReversals(history).length, 1);
});

test('growing versions are accepted, and a restarted process may start lower', (t) => {
  const history = [
    { ...config, atMs: 1, version: 1 },
    { ...config, atMs: 2, version: 4 },
    { ...config, atMs: 3, version: 3, pid: 2 },
    { ...config, atMs: 4, version: 4, pid: 2 },
  ];
  t.deepEqual(findConfigReversals(history), []);
});

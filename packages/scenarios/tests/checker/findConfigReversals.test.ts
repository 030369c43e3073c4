import test from 'ava';
import { findConfigReversals } from '../../src/checker/findConfigReversals.js';

const config = { kind: 'config', host: 'norte-1', pid: 1 } as const;

test('reports a process that returns to a lower version', (t) => {
  const history = [3, 4, 2].map((version, atMs) => ({ ...config, atMs, version }));
  t.is(findConfigReversals(history).length, 1);
});

test('accepts increasing versions and a restarted process that starts with a lower one', (t) => {
  const history = [
    { ...config, atMs: 1, version: 1 },
    { ...config, atMs: 2, version: 4 },
    { ...config, atMs: 3, version: 3, pid: 2 },
    { ...config, atMs: 4, version: 4, pid: 2 },
  ];
  t.deepEqual(findConfigReversals(history), []);
});

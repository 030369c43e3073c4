import { execFile } from 'node:child_process';
import { promisify } from 'node:util';
import test from 'ava';
import { runSoak } from '../src/index.js';

const DURATION_MS = 8_000;

test.before('build the host', async () => {
  await promisify(execFile)(process.execPath, ['platform/build.mjs']);
});

test('no guarantee is violated under the faults of a seed', async (t) => {
  const { violations, served, calls, logs } = await runSoak({ seed: 1, durationMs: DURATION_MS });
  t.deepEqual(violations, [], logs.join('\n'));
  t.true(served > calls / 2);
});

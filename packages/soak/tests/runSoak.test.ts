import { execFile } from 'node:child_process';
import { promisify } from 'node:util';
import test from 'ava';
import { runSoak } from '../src/index.js';

const DURATION_MS = 8_000;

test.before('build the host', async () => {
  await promisify(execFile)(process.execPath, ['platform/build.mjs']);
});

const cases = [
  { seed: 1, title: 'no guarantee is violated under the faults of a seed' },
  // The pauses of host 1 overlap.
  { seed: 30, title: 'requests whose callers left while their host was paused are not sent' },
] as const;

cases.forEach(({ seed, title }) => {
  test.serial(title, async (t) => {
    const { violations, served, calls, logs } = await runSoak({ seed, durationMs: DURATION_MS });
    t.deepEqual(violations, [], logs.join('\n'));
    t.true(served > calls / 2);
  });
});

import { execFile } from 'node:child_process';
import { promisify } from 'node:util';
import test from 'ava';
import { runSoak } from '../src/index.js';

const DURATION_MS = 8_000;
/** Fewer requests on connections that were idle would show little. */
const MIN_AFTER_IDLE = 50;

test.before('build the host', async () => {
  await promisify(execFile)(process.execPath, ['platform/build.mjs']);
});

const cases = [
  { seed: 1, title: 'no guarantee is violated under the faults of a seed' },
  // The pauses of host 1 overlap.
  { seed: 30, title: 'requests whose callers left while their host was paused are not sent' },
  // Host 2 pauses twice while its idle timeout is short and requests arrive.
  { seed: 11, title: 'requests that arrive in time while their host is paused are read' },
] as const;

cases.forEach(({ seed, title }) => {
  test.serial(title, async (t) => {
    const report = await runSoak({ seed, durationMs: DURATION_MS });
    const { violations, served, calls, afterIdle, logs } = report;
    t.deepEqual(violations, [], logs.join('\n'));
    t.true(served > calls / 2);
    t.true(afterIdle > MIN_AFTER_IDLE);
  });
});

import { execFile } from 'node:child_process';
import { promisify } from 'node:util';
import test from 'ava';
import { createSeededRandom } from '@camphorbarrow/core';
import { planConfigurations, readRunArguments, runConfigurations } from '../src/index.js';

test.before('build the host', async () => {
  await promisify(execFile)(process.execPath, ['platform/build.mjs']);
});

test('the steps of a seed meet every entry, kill and link', (t) => {
  const steps = planConfigurations(createSeededRandom(1), 100);
  t.deepEqual(steps, planConfigurations(createSeededRandom(1), 100));
  t.is(new Set(steps.map(({ entry }) => entry)).size, 7);
  t.is(new Set(steps.map(({ kill }) => kill)).size, 5);
  t.is(new Set(steps.map(({ link }) => JSON.stringify(link))).size, 4);
});

// On 61d1b867, no host got ready after the first step, and none took the entry of the third.
test('hosts that are killed beside odd configurations are ready in time, with the newest readable one', async (t) => {
  t.timeout(240_000);
  const command = {
    nodePath: process.execPath,
    nodeArguments: [...readRunArguments(), 'target/entry-host.cjs'],
  };
  const { problems } = await runConfigurations({ seed: 1, steps: 3, command });
  t.deepEqual(problems, []);
});

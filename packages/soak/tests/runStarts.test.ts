import { execFile } from 'node:child_process';
import { promisify } from 'node:util';
import test from 'ava';
import { createSeededRandom } from '@camphorbarrow/core';
import { planStarts, readRunArguments, runStarts } from '../src/index.js';

test.before('build the host', async () => {
  await promisify(execFile)(process.execPath, ['platform/build.mjs']);
});

test('the starts of a seed meet every disturbance', (t) => {
  const starts = planStarts(createSeededRandom(1), 100);
  t.deepEqual(starts, planStarts(createSeededRandom(1), 100));
  t.is(new Set(starts.map(({ settings }) => settings)).size, 4);
  t.is(new Set(starts.map(({ restart }) => restart)).size, 3);
  t.is(
    new Set(starts.map(({ heldPort }) => heldPort && heldPort.protocol + heldPort.port)).size,
    7,
  );
  t.is(new Set(starts.flatMap(({ signals }) => signals.map(({ signal }) => signal))).size, 3);
});

test('hosts whose settings, ports or first moments are disturbed start and stop in order', async (t) => {
  const command = {
    nodePath: process.execPath,
    nodeArguments: [...readRunArguments(), 'target/entry-host.cjs'],
  };
  const results = await runStarts({ seed: 1, count: 12, parallel: 3, command });
  t.is(results.length, 12);
  t.deepEqual(
    results.filter(({ problem }) => problem !== undefined),
    [],
  );
});

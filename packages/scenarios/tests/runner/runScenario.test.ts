import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import test from 'ava';
import { runScenario } from '../../src/runner/runScenario.js';

const SEED = 20_261;
const TIMEOUT_MS = 60_000;

/** Scenarios that run in CI; the others take longer or fail (KNOWN-RED.txt) and are run manually. */
const IN_CI = [
  'engine-kill',
  'host-kill',
  'silent-connections',
  'store-outage',
  'region-cut',
  'drain-long-streams',
  'drain-refusal',
  'leaving-servers',
  'homed-marker',
  'crash-once',
];

IN_CI.forEach((name) => {
  test.serial(`the scenario ${name} passes`, async (t) => {
    t.timeout(TIMEOUT_MS);
    const file = `packages/scenarios/scenarios/${name}.jsonc`;
    const { failures } = await runScenario(file, { seed: SEED });
    t.deepEqual(failures, []);
  });
});

test('scenarios that are known to fail are printed and not run in CI', async (t) => {
  const text = await readFile('KNOWN-RED.txt', 'utf8');
  const knownFailures = text
    .split('\n')
    .flatMap((line) => /^([a-z-]+(?:, [a-z-]+)*):/.exec(line)?.[1]?.split(', ') ?? []);
  t.log(`known to fail: ${knownFailures.join(', ')}`);
  t.deepEqual(
    IN_CI.filter((name) => knownFailures.includes(name)),
    [],
  );
});

test.serial('expectations that do not hold fail the run, and its history is written', async (t) => {
  t.timeout(TIMEOUT_MS);
  const directory = await mkdtemp(path.join(tmpdir(), 'camphorbarrow-'));
  t.teardown(() => rm(directory, { recursive: true }));
  const file = path.join(directory, 'wrong.jsonc');
  const steps = [
    {
      do: 'start',
      deployment: {
        regions: [{ name: 'norte', entryHosts: 1, engines: 1 }],
        drain: { steerMs: 0 },
      },
    },
    { do: 'send', id: 'a', call: 'stream', via: 'norte-1', marker: 'wren-0001' },
    { do: 'expect', that: 'calls', calls: 'a', only: ['not-run'] },
    { do: 'expect', that: 'executed', calls: 'a', total: { atMost: 0 } },
    { do: 'expect', that: 'marker', marker: 'wren-0001', neverAt: ['norte-engine-1'] },
  ];
  await writeFile(file, JSON.stringify({ description: 'Expects what does not happen.', steps }));
  const report = await runScenario(file, { seed: SEED, historyDirectory: directory });
  t.false(report.passed);
  t.deepEqual(
    report.failures.map((failure) => failure.slice(0, 6)),
    ['step 3', 'step 4', 'step 5'],
  );
  const history = await readFile(report.historyFile ?? '', 'utf8');
  const kinds = history.split('\n').filter((line) => line !== '');
  t.true(kinds.some((line) => JSON.parse(line).kind === 'executed'));
});

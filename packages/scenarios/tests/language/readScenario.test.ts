import { mkdtemp, readdir, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { SettingsError } from '@camphorbarrow/core';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { readScenario } from '../../src/language/readScenario.js';

const SCENARIOS = 'packages/scenarios/scenarios';
const START = `{ "do": "start", "deployment": { "regions": [
      { "name": "norte", "entryHosts": 1, "engines": 1 }
    ] } },`;

/** Problems of a scenario in which the given steps follow `start` and begin on line 6. */
async function problemsOf(t: ExecutionContext, steps: string): Promise<string[]> {
  const directory = await mkdtemp(path.join(tmpdir(), 'camphorbarrow-'));
  t.teardown(() => rm(directory, { recursive: true }));
  const file = path.join(directory, 'bad.jsonc');
  await writeFile(file, `{\n  "description": "bad", "steps": [\n    ${START}\n${steps}\n  ] }`);
  const error = await t.throwsAsync(readScenario(file), { instanceOf: SettingsError });
  return error.message.split('\n').map((line) => line.slice(directory.length + 1));
}

test('every scenario in the repository is valid', async (t) => {
  const files = await readdir(SCENARIOS);
  t.true(files.length > 10);
  await Promise.all(files.map((file) => readScenario(path.join(SCENARIOS, file))));
});

test('an unknown verb and a field of the wrong type are reported with line and field', async (t) => {
  const [verb] = await problemsOf(t, '{ "do": "explode" }');
  t.regex(verb ?? '', /^bad\.jsonc:6:\d+: steps\.1\.do: /);
  const [count] = await problemsOf(
    t,
    '{ "do": "send",\n "id": "a",\n "call": "stream",\n "via": "norte-1",\n "count": "many" }',
  );
  t.regex(count ?? '', /^bad\.jsonc:10:\d+: steps\.1\.count: /);
});

test('a process or call that does not exist is reported before anything starts', async (t) => {
  const problems = await problemsOf(
    t,
    '{ "do": "kill", "target": { "oneOf": ["norte-1", "norte-7"] } },\n' +
      '{ "do": "wait", "calls": "nothing" }',
  );
  t.deepEqual(problems, [
    'bad.jsonc:6:50: steps.1.target.oneOf.1: there is no process "norte-7" ' +
      '(value: "norte-7"; allowed: text matching /^[a-z0-9][a-z0-9-]{0,62}$/)',
    'bad.jsonc:7:26: steps.2.calls: no earlier step sends calls "nothing" ' +
      '(value: "nothing"; allowed: text matching /^[a-z0-9][a-z0-9-]{0,62}$/)',
  ]);
});

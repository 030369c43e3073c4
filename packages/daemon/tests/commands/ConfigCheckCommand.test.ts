import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { PassThrough } from 'node:stream';
import { text as readText } from 'node:stream/consumers';
import anyTest from 'ava';
import type { TestFn } from 'ava';
import { Cli } from 'clipanion';
import { ConfigCheckCommand } from '../../src/commands/ConfigCheckCommand.js';

const test = anyTest as TestFn<{ directory: string }>;

test.before(async (t) => {
  t.context.directory = await mkdtemp(path.join(tmpdir(), 'camphorbarrow-check-'));
});

test.after.always((t) => rm(t.context.directory, { recursive: true, force: true }));

async function check(
  directory: string,
  name: string,
  content: string | undefined,
  ...options: string[]
): Promise<{ exitCode: number; output: string }> {
  const file = path.join(directory, name);
  if (content !== undefined) {
    await writeFile(file, content);
  }
  const stream = new PassThrough();
  const cli = Cli.from([ConfigCheckCommand], { enableColors: false });
  const exitCode = await cli.run(['config', 'check', ...options, file], {
    ...Cli.defaultContext,
    stdout: stream,
    stderr: stream,
  });
  stream.end();
  return { exitCode, output: (await readText(stream)).replaceAll(`${directory}/`, '') };
}

const settings = `{
  "host": { "hostId": "a", "region": "r", "availabilityZone": "z" },
  "callerListener": { "address": "127.0.0.1", "port": 1 },
  "peerListener": { "address": "127.0.0.1", "port": 2 },
  "keyValueService": { "url": "http://127.0.0.1:3" },
  "hostList": { "url": "http://127.0.0.1:4" },
  "secrets": { "peerKey": "0123456789abcdef", "recordKey": "0123456789abcdef" }
}`;

test('each kind of file is detected and accepted', async (t) => {
  const { directory } = t.context;
  const cases = [
    ['defaults.jsonc', '{ /* none */ "retry": { "maxAttempts": 2 } }', 'fleet defaults'],
    ['empty.jsonc', '{}', 'fleet defaults'],
    ['exceptions.jsonc', '[{ "id": "a", "reason": "peak", "scope": {}, "set": {} }]', 'exceptions'],
    ['host.jsonc', settings, 'host settings'],
    ['copy.json', '{ "version": 1, "changeId": "a", "defaults": {} }', 'configuration document'],
  ] as const;
  for (const [name, content, title] of cases) {
    t.deepEqual(await check(directory, name, content), {
      exitCode: 0,
      output: `${name}: valid ${title}\n`,
    });
  }
});

test('a problem is printed with its position, field, value, unit and allowed values', async (t) => {
  const content = '{\n  "timeouts": {\n    "connectTimeoutMs": 0\n  }\n}';
  t.deepEqual(await check(t.context.directory, 'bad.jsonc', content), {
    exitCode: 2,
    output:
      'bad.jsonc:3:25: timeouts.connectTimeoutMs: Too small: expected number to be >=1 ' +
      '(value: 0; unit: milliseconds; allowed: an integer from 1 to 86400000)\n',
  });
});

test('invalid input ends with exit code 2 and without a stack trace', async (t) => {
  const { directory } = t.context;
  const results = [
    await check(directory, 'missing.jsonc', undefined),
    await check(directory, 'broken.jsonc', '{ "retry": '),
    await check(directory, 'twice.jsonc', '[{ "id": "a", "reason": "x" }, { "id": "a" }]'),
    await check(directory, 'kind.jsonc', '{}', '--kind', 'nonsense'),
    await check(directory, 'host2.jsonc', '{ "host": 1 }'),
  ];
  results.forEach(({ exitCode, output }) => {
    t.is(exitCode, 2);
    t.notRegex(output, /\bat .*\.ts:\d+/);
  });
});

import { execFile } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import anyTest from 'ava';
import type { ExecutionContext, TestFn } from 'ava';
import { request } from 'undici';
import type { Deployment } from '../../src/launcher/Deployment.js';
import { startDeployment } from '../../src/launcher/startDeployment.js';
import { waitUntil } from '../../src/launcher/waitUntil.js';

/** Time within which a change must be adopted: invariant 9 in docs/design.md. */
const ADOPTION_LIMIT_MS = 6_000;
const CALL_TIMEOUT_MS = 3_000;
const HOSTS = ['norte-1', 'norte-2', 'sul-1', 'sul-2'];

interface Context {
  readonly deployment: Deployment;
  readonly directory: string;
}

interface CommandResult {
  readonly exitCode: number;
  readonly stdout: string;
  readonly stderr: string;
}

const test = anyTest as TestFn<Context>;

test.before(async (t) => {
  t.context = {
    directory: await mkdtemp(path.join(tmpdir(), 'camphorbarrow-config-')),
    deployment: await startDeployment({
      name: 'config',
      models: ['layout-large'],
      regions: [
        { name: 'norte', entryHosts: 2, engines: 1, orderingServers: 0 },
        { name: 'sul', entryHosts: 2, engines: 0, orderingServers: 0 },
      ],
      drain: { steerMs: 100 },
    }),
  };
  await writeFile(
    path.join(t.context.directory, 'key.txt'),
    t.context.deployment.operatorKeys.ana ?? '',
  );
});

test.after.always(async (t) => {
  await t.context.deployment.close();
  await rm(t.context.directory, { recursive: true, force: true });
});

function runCommand({ deployment, directory }: Context, host: string, ...args: string[]) {
  const connection = ['--host', deployment.processes.get(host)?.peerUrl ?? '', '--key-file'];
  return new Promise<CommandResult>((resolve) => {
    execFile(
      process.execPath,
      ['dist/camphorbarrow.cjs', ...args, ...connection, path.join(directory, 'key.txt')],
      (error, stdout, stderr) => {
        resolve({ exitCode: error === null ? 0 : Number(error.code ?? -1), stdout, stderr });
      },
    );
  });
}

async function addException(context: Context, host: string, id: string, ...options: string[]) {
  const file = path.join(context.directory, `${id}.jsonc`);
  const exception = {
    id,
    reason: 'Lunchtime peak',
    scope: {},
    set: { retry: { maxAttempts: 1 } },
  };
  await writeFile(file, JSON.stringify(exception));
  const args = ['config', 'set', '--add-exception', file, '--reason', 'Peak of the day'];
  return runCommand(context, host, ...args, ...options);
}

interface ShownDocument {
  readonly version: number;
  readonly exceptions: readonly { readonly id: string; readonly author: string }[];
}

/** Reads a host's current configuration document over the operators' interface. */
async function documentAt({ deployment }: Context, host: string): Promise<ShownDocument> {
  const { body } = await request(`${deployment.processes.get(host)?.peerUrl}/operator/show`, {
    headers: { authorization: `Bearer ${deployment.operatorKeys.ana}` },
    headersTimeout: CALL_TIMEOUT_MS,
  });
  const response = (await body.json()) as { result: { data: ShownDocument } };
  return response.result.data;
}

function storeUrl({ deployment }: Context): string {
  return deployment.processes.get('store')?.url ?? '';
}

async function callStore(context: Context, route: string, body: object = {}): Promise<unknown> {
  const response = await request(`${storeUrl(context)}${route}`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    headersTimeout: CALL_TIMEOUT_MS,
    // One connection per call, so that the test does not reuse a connection that it silenced.
    reset: true,
    body: JSON.stringify(body),
  });
  return response.body.json();
}

async function storedVersion(context: Context): Promise<number> {
  const key = Buffer.from('/config/current').toString('base64');
  const range = (await callStore(context, '/v3/kv/range', { key })) as {
    kvs: { value: string }[];
  };
  const text = Buffer.from(range.kvs[0]?.value ?? '', 'base64').toString('utf8');
  return (JSON.parse(text) as ShownDocument).version;
}

/** Waits until every host has adopted the exception and the version, and checks the time. */
async function waitUntilAdopted(
  t: ExecutionContext<Context>,
  sinceMs: number,
  id: string,
  version: number,
): Promise<void> {
  await waitUntil(`${id} is adopted`, ADOPTION_LIMIT_MS, async () => {
    const documents = await Promise.all(HOSTS.map((host) => documentAt(t.context, host)));
    return documents.every(
      (document) =>
        document.version >= version && document.exceptions.some((item) => item.id === id),
    );
  });
  const durationMs = performance.now() - sinceMs;
  t.log(`${id}: adopted by all hosts ${durationMs.toFixed(0)} ms after the command started`);
  t.true(durationMs < ADOPTION_LIMIT_MS);
}

test.serial('a change made on the command line is adopted by every host within 6 s', async (t) => {
  await callStore(t.context, '/snapshot');
  const startMs = performance.now();
  const result = await addException(t.context, 'norte-1', 'peak');
  t.is(result.exitCode, 0, result.stderr);
  t.regex(result.stdout, /Accepted as version 2 .*\nNotified 3 other entry hosts\.\n$/);
  await waitUntilAdopted(t, startMs, 'peak', 2);
  t.is((await documentAt(t.context, 'sul-1')).exceptions[0]?.author, 'ana');
});

test.serial(
  'a store restored with old data reverts no host, and the newer document is written back',
  async (t) => {
    t.is(await storedVersion(t.context), 2);
    await callStore(t.context, '/restore');
    t.is(await storedVersion(t.context), 1);
    const startMs = performance.now();
    const versions: number[] = [];
    await waitUntil('the store has version 2 again', ADOPTION_LIMIT_MS, async () => {
      const documents = await Promise.all(HOSTS.map((host) => documentAt(t.context, host)));
      versions.push(...documents.map(({ version }) => version));
      return (await storedVersion(t.context)) === 2;
    });
    t.log(`written back after ${(performance.now() - startMs).toFixed(0)} ms`);
    t.true(versions.every((version) => version === 2));
  },
);

test.serial(
  'a host restarted after a restore of the store gets the newest configuration',
  async (t) => {
    await callStore(t.context, '/restore');
    await t.context.deployment.restart('sul-2');
    await waitUntilAdopted(t, performance.now(), 'peak', 2);
  },
);

test.serial(
  'a change is adopted within 6 s while all open store connections are unresponsive',
  async (t) => {
    await callStore(t.context, '/control', { silenceOpenConnections: true });
    const startMs = performance.now();
    const result = await addException(t.context, 'sul-1', 'silent');
    t.true([0, 4].includes(result.exitCode), result.stderr);
    await waitUntilAdopted(t, startMs, 'silent', 3);
  },
);

test.serial('a change based on an older version is rejected with exit code 3', async (t) => {
  const result = await addException(t.context, 'norte-2', 'late', '--base-version', '1');
  t.is(result.exitCode, 3);
  t.regex(result.stderr, /Rejected: version 3 by ana .*This change was based on version 1\./);
});

test.serial(
  'a change while the store is unavailable ends with exit code 1 and changes nothing',
  async (t) => {
    await callStore(t.context, '/control', { unavailable: true });
    const result = await addException(t.context, 'norte-2', 'outage');
    await callStore(t.context, '/control', { unavailable: false });
    t.is(result.exitCode, 1);
    t.regex(result.stderr, /store-unavailable/);
    t.is((await documentAt(t.context, 'norte-2')).version, 3);
  },
);

test.serial('a write whose response is lost is read back and accepted', async (t) => {
  await callStore(t.context, '/control', { loseAnswers: true, loseAnswersTo: '/v3/kv/txn' });
  const startMs = performance.now();
  const result = await addException(t.context, 'norte-2', 'resolved');
  await callStore(t.context, '/control', { loseAnswers: false });
  t.is(result.exitCode, 0, result.stderr);
  await waitUntilAdopted(t, startMs, 'resolved', 4);
});

test.serial(
  'an unresolved write ends with exit code 4, and a retry with its change id resolves it',
  async (t) => {
    await callStore(t.context, '/control', { loseAnswers: true, loseAnswersTo: '/v3/kv/txn' });
    const option = ['--change-id', 'lost-answer-1'];
    const command = addException(t.context, 'norte-2', 'lost', ...option);
    await waitUntil(
      'the change is written',
      5_000,
      async () => (await storedVersion(t.context)) === 5,
    );
    await callStore(t.context, '/control', { unavailable: true, loseAnswers: false });
    const result = await command;
    await callStore(t.context, '/control', { unavailable: false });
    t.is(result.exitCode, 4, result.stderr);
    t.regex(result.stderr, /--change-id lost-answer-1 to find out/);
    const retried = await addException(t.context, 'sul-1', 'lost', ...option);
    t.is(retried.exitCode, 0, retried.stderr);
    t.regex(retried.stdout, /Accepted as version 5 \(change lost-answer-1\)/);
    const { exceptions } = await documentAt(t.context, 'sul-1');
    t.is(exceptions.filter(({ id }) => id === 'lost').length, 1);
  },
);

test.serial('status shows every host with its version and the backend servers', async (t) => {
  // Heartbeats, which carry the configuration versions, are sent about once a second.
  await delay(2_500);
  const result = await runCommand(t.context, 'norte-1', 'status', '--json');
  const status = JSON.parse(result.stdout) as {
    self: { configVersion: number };
    peers: { hostId: string; reachable: boolean; configVersion: number }[];
    servers: { serverId: string; accepting: boolean }[];
  };
  t.deepEqual(
    status.peers.map(({ hostId }) => hostId),
    ['norte-2', 'sul-1', 'sul-2'],
  );
  t.true(status.peers.every((peer) => peer.reachable && peer.configVersion === 5));
  t.like(status.servers, [{ serverId: 'norte-engine-1', accepting: true }]);
  const table = await runCommand(t.context, 'norte-1', 'status');
  t.regex(table.stdout, /norte-2 +norte +norte-a +live +5 /);
});

test.serial('show and history list the changes and their author', async (t) => {
  const shown = await runCommand(t.context, 'sul-2', 'config', 'show');
  t.regex(shown.stdout, /^version 5, change lost-answer-1\nmade by ana /);
  const history = await runCommand(t.context, 'sul-2', 'config', 'history');
  t.regex(history.stdout, /\n2 +\S+ +ana +\S+ +add-exception peak: Peak of the day\n/);
});

import { execFile } from 'node:child_process';
import { mkdtemp, readFile, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { promisify } from 'node:util';
import test from 'ava';
import type { BurnReport } from '@camphorbarrow/core';
import { request } from 'undici';
import { startDeployment } from '../../src/launcher/startDeployment.js';

const run = promisify(execFile);
const MODEL = 'layout-large';

// Guards against a report that covers only the host it was requested from, and against one that
// omits unreachable hosts without saying so.
test('any entry host reports the burn rate of the fleet and lists the hosts that are missing', async (t) => {
  const deployment = await startDeployment({
    name: 'burn',
    models: [MODEL],
    regions: [
      { name: 'norte', entryHosts: 2, engines: 1, orderingServers: 0 },
      { name: 'sul', entryHosts: 1, engines: 1, orderingServers: 0 },
    ],
  });
  const directory = await mkdtemp(path.join(tmpdir(), 'camphorbarrow-burn-'));
  t.teardown(async () => {
    await deployment.close();
    await rm(directory, { recursive: true, force: true });
  });

  async function send(host: string, model: string): Promise<void> {
    const response = await request(`${deployment.processes.get(host)?.url}/v1/completions`, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${deployment.customerKey}`,
        'content-type': 'application/json',
      },
      body: JSON.stringify({ model, prompt: 'Seed tray', stream: true, max_tokens: 2 }),
    });
    await response.body.text();
  }

  async function report(...args: string[]): Promise<string> {
    const url = deployment.processes.get('norte-1')?.peerUrl ?? '';
    const { stdout } = await run(
      process.execPath,
      ['dist/camphorbarrow.cjs', 'report', 'burn', '--host', url, ...args],
      { env: { ...process.env, CAMPHORBARROW_OPERATOR_KEY: deployment.operatorKeys.ana } },
    );
    return stdout;
  }

  const requestsIn = ({ rows }: BurnReport, region: string): number =>
    rows.find((row) => row.regionId === region && row.serviceClass === 'patient')?.windows.at(-1)
      ?.requests ?? 0;

  await send('norte-1', MODEL);
  await send('norte-2', MODEL);
  await send('sul-1', MODEL);
  await send('sul-1', 'unknown-model');
  const page = path.join(directory, 'burn.html');
  const complete = JSON.parse(await report('--json', '--html', page)) as BurnReport;
  t.is(requestsIn(complete, 'norte'), 2);
  t.is(requestsIn(complete, 'sul'), 1, 'an invalid request does not count');
  t.is(complete.hosts.length, 3);
  t.regex(await readFile(page, 'utf8'), /<svg[^]*norte patient/);

  await deployment.processes.get('sul-1')?.process.close();
  const partial = JSON.parse(await report('--json')) as BurnReport;
  t.true(partial.missing.some((line) => line.startsWith('sul-1 did not respond')));
});

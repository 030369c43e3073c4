import { execFile } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { promisify } from 'node:util';
import test from 'ava';
import { request } from 'undici';
import { startDeployment } from '../../src/launcher/startDeployment.js';
import { waitUntil } from '../../src/launcher/waitUntil.js';

const run = promisify(execFile);
const MODEL = 'layout-large';
const WEIGHTS = 'layout-large-v2';
const LOAD_TIMEOUT_MS = 30_000;

interface EngineState {
  readonly weightsByModel: Readonly<Record<string, string>>;
  readonly newestToken: number;
}

// Guards against changed fleet defaults that never reach the engines, and against two entry hosts
// that send orders to the same engines.
test('new weights in the fleet defaults are loaded on the engines by one owner', async (t) => {
  const deployment = await startDeployment({
    name: 'engines',
    models: [MODEL],
    regions: [{ name: 'norte', entryHosts: 3, engines: 2, orderingServers: 0 }],
  });
  const directory = await mkdtemp(path.join(tmpdir(), 'camphorbarrow-engines-'));
  t.teardown(async () => {
    await deployment.close();
    await rm(directory, { recursive: true, force: true });
  });

  async function camphorbarrow(...args: string[]): Promise<string> {
    const url = deployment.processes.get('norte-1')?.peerUrl ?? '';
    const { stdout } = await run(
      process.execPath,
      ['dist/camphorbarrow.cjs', ...args, '--host', url],
      { env: { ...process.env, CAMPHORBARROW_OPERATOR_KEY: deployment.operatorKeys.ana } },
    );
    return stdout;
  }

  async function stateOf(engine: string): Promise<EngineState> {
    const url = deployment.processes.get(engine)?.url;
    const response = await request(`${url}/engine-orders/state`);
    return (await response.body.json()) as EngineState;
  }

  const { defaults } = JSON.parse(await camphorbarrow('config', 'show', '--json')) as {
    defaults: object;
  };
  const file = path.join(directory, 'defaults.jsonc');
  const models = { [MODEL]: { weights: WEIGHTS, serversPerRegion: 2 } };
  await writeFile(file, JSON.stringify({ ...defaults, models }));
  await camphorbarrow('config', 'set', '--defaults', file, '--reason', 'New weights');
  const engines = ['norte-engine-1', 'norte-engine-2'];
  await waitUntil('both engines have the new weights', LOAD_TIMEOUT_MS, async () => {
    const states = await Promise.all(engines.map(stateOf));
    return states.every(({ weightsByModel }) => weightsByModel[MODEL] === WEIGHTS);
  });
  const tokens = (await Promise.all(engines.map(stateOf))).map(({ newestToken }) => newestToken);
  t.is(new Set(tokens).size, 1, 'both orders have the fencing token of one owner');
});

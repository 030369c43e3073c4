import { once } from 'node:events';
import { existsSync } from 'node:fs';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { connect } from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import type { ServerRecord } from '@camphorbarrow/standins';
import { request } from 'undici';
import type { DeployedProcess, Deployment } from './Deployment.js';
import type { DeploymentSpec } from './DeploymentSpec.js';
import { createNetworkControl } from './createNetworkControl.js';
import { OPERATOR_KEYS, planDeployment, recordFileOf, urlOf } from './planDeployment.js';
import type { LaunchOptions, PlannedProcess } from './planDeployment.js';
import { CUSTOMER_KEY, regionCustomerKeyOf, seedConfiguration } from './seedConfiguration.js';
import { startProcess } from './startProcess.js';
import { waitUntil } from './waitUntil.js';

const START_TIMEOUT_MS = 20_000;

async function isReady({ kind, bound, announced }: PlannedProcess): Promise<boolean> {
  const route = kind === 'entryHost' ? '/healthz' : '/';
  const { statusCode, body } = await request(`${urlOf(bound)}${route}`);
  await body.dump();
  if (kind === 'entryHost' && statusCode !== 200) {
    return false;
  }
  const socket = connect({ host: announced.address, port: announced.port });
  await once(socket, 'connect').finally(() => socket.destroy());
  return true;
}

async function readRecords(file: string): Promise<readonly ServerRecord[]> {
  const text = existsSync(file) ? await readFile(file, 'utf8') : '';
  const lines = text.split('\n').filter((line) => line !== '');
  return lines.map((line) => JSON.parse(line) as ServerRecord);
}

/** Starts all processes of a deployment and waits until they are ready. */
export async function startDeployment(
  spec: DeploymentSpec,
  options: LaunchOptions = {},
): Promise<Deployment> {
  const directory = await mkdtemp(path.join(tmpdir(), 'camphorbarrow-'));
  const plan = planDeployment(spec, directory, options);
  const planned = [...plan.standIns, ...plan.entryHosts];
  const processes = new Map<string, DeployedProcess>();

  function start(plannedProcess: PlannedProcess): void {
    const { name, region, kind, announced, bound, peer, program, args } = plannedProcess;
    const { onLine } = options;
    const child = startProcess({
      name,
      program,
      args,
      ...(onLine === undefined
        ? {}
        : { onLine: (pid: number, line: string) => onLine(name, pid, line) }),
    });
    const peerUrl = peer === undefined ? undefined : urlOf(peer);
    const urls = { url: urlOf(announced), directUrl: urlOf(bound), peerUrl };
    processes.set(name, { name, region, kind, ...urls, process: child });
  }

  async function startAll(group: readonly PlannedProcess[]): Promise<void> {
    group.forEach(start);
    await Promise.all(
      group.map((one) => waitUntil(`${one.name} is ready`, START_TIMEOUT_MS, () => isReady(one))),
    );
  }

  async function close(): Promise<void> {
    await Promise.all([...processes.values()].map((deployed) => deployed.process.close()));
    await rm(directory, { recursive: true, force: true });
  }

  try {
    await Promise.all(
      [...plan.settingsFiles].map(([file, settings]) =>
        writeFile(file, JSON.stringify(settings, undefined, 2)),
      ),
    );
    await startAll(plan.relay === undefined ? [] : [plan.relay]);
    await startAll(plan.standIns);
    await seedConfiguration(processes.get('store')?.directUrl ?? '', spec);
    await startAll(plan.entryHosts);
  } catch (error) {
    await close();
    throw error;
  }

  return {
    processes,
    customerKey: CUSTOMER_KEY,
    customerKeysByRegion: new Map(
      spec.regions.map(({ name }) => [name, regionCustomerKeyOf(name)]),
    ),
    operatorKeys: OPERATOR_KEYS,
    callerAddress: (region) => plan.callerAddresses.get(region) ?? '127.0.0.1',
    network: plan.relay === undefined ? undefined : createNetworkControl(urlOf(plan.relay.bound)),
    recordsOf: (name) => readRecords(recordFileOf(directory, name)),
    async restart(name) {
      const stopped = planned.find((candidate) => candidate.name === name);
      if (stopped !== undefined) {
        await processes.get(name)?.process.close();
        await startAll([stopped]);
      }
    },
    close,
  };
}

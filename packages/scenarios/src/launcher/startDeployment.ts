import { createHash, randomInt } from 'node:crypto';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { request } from 'undici';
import type { DeployedProcess, Deployment } from './Deployment.js';
import type { DeploymentSpec } from './DeploymentSpec.js';
import { startProcess } from './startProcess.js';
import { waitUntil } from './waitUntil.js';

const PLATFORM_PORT = 2_379;
const CALLER_PORT = 8_080;
const PEER_PORT = 9_080;
const SERVER_PORT = 7_000;
const START_TIMEOUT_MS = 20_000;
const CUSTOMER_KEY = 'demo-key-unbound-0001';
const PEER_KEY = 'demo-peer-key-0123456789';
const OPERATOR_KEY = 'demo-operator-key-0123456789';

export interface LaunchOptions {
  /** File of the daemon's bundle. @default 'dist/camphorbarrow.cjs' */
  readonly daemon?: string;
  /** File of the stand-ins' bundle. @default 'dist/standin.cjs' */
  readonly standIn?: string;
}

interface Planned {
  readonly name: string;
  readonly region: string;
  readonly kind: DeployedProcess['kind'];
  readonly url: string;
  readonly program: string;
  readonly args: readonly string[];
}

const sha256 = (text: string): string => createHash('sha256').update(text).digest('hex');
const homedKeyOf = (region: string): string => `demo-key-${region}-0001`;

/** Source of loopback addresses that other runs on the machine are unlikely to use. */
function createAddressSource(): () => string {
  const network = `127.${randomInt(10, 250)}.${randomInt(0, 250)}`;
  let last = 0;
  return () => {
    last += 1;
    return `${network}.${last}`;
  };
}

function fleetDocument(spec: DeploymentSpec): object {
  const homed = spec.regions.map(({ name }) => [
    `workshop-${name}`,
    { keySha256: sha256(homedKeyOf(name)), homeRegion: name },
  ]);
  return {
    version: 1,
    changeId: 'initial',
    defaults: {
      customers: { workshop: { keySha256: sha256(CUSTOMER_KEY) }, ...Object.fromEntries(homed) },
      models: Object.fromEntries(spec.models.map((model) => [model, {}])),
      services: { orders: { nonRepeatableCalls: ['POST /orders'] } },
    },
    exceptions: [],
    history: [],
  };
}

async function seedConfiguration(storeUrl: string, spec: DeploymentSpec): Promise<void> {
  const key = Buffer.from('/config/current').toString('base64');
  const value = Buffer.from(JSON.stringify(fleetDocument(spec))).toString('base64');
  await request(`${storeUrl}/v3/kv/txn`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify({
      compare: [{ key, target: 'MOD', result: 'EQUAL', mod_revision: '0' }],
      success: [{ request_put: { key, value } }],
      failure: [],
    }),
  });
}

interface Plan {
  readonly processes: readonly Planned[];
  readonly storeUrl: string;
}

/** Chooses addresses and writes the settings files. */
async function planDeployment(
  spec: DeploymentSpec,
  directory: string,
  options: LaunchOptions,
): Promise<Plan> {
  const nextAddress = createAddressSource();
  const daemon = options.daemon ?? 'dist/camphorbarrow.cjs';
  const standIn = options.standIn ?? 'dist/standin.cjs';
  const planned: Planned[] = [];
  const hosts: object[] = [];

  function addStandIn(
    name: string,
    region: string,
    kind: DeployedProcess['kind'],
    standInKind: string,
    port: number,
    standInOptions: object,
  ): string {
    const address = nextAddress();
    const url = `http://${address}:${port}`;
    const settings = { kind: standInKind, address, port, options: standInOptions };
    const args = [JSON.stringify(settings)];
    planned.push({ name, region, kind, url, program: standIn, args });
    return url;
  }

  const home = spec.regions[0]?.name ?? '';
  const storeUrl = addStandIn('store', home, 'platform', 'keyValue', PLATFORM_PORT, {});
  const directoryUrl = addStandIn(
    'directory',
    home,
    'platform',
    'clientDirectory',
    PLATFORM_PORT,
    {},
  );
  const weightStoreUrl = addStandIn('weights', home, 'platform', 'weightStore', PLATFORM_PORT, {});

  spec.regions.forEach((region) => {
    const common = { region: region.name, availabilityZone: `${region.name}-a`, state: 'live' };
    for (let index = 1; index <= region.engines; index += 1) {
      const serverId = `${region.name}-engine-${index}`;
      const engineOptions = { serverId, models: spec.models, ...spec.engineOptions };
      const baseUrl = addStandIn(
        serverId,
        region.name,
        'engine',
        'engine',
        SERVER_PORT,
        engineOptions,
      );
      hosts.push({ serverId, kind: 'engine', baseUrl, models: spec.models, ...common });
    }
    for (let index = 1; index <= region.orderingServers; index += 1) {
      const serverId = `${region.name}-orders-${index}`;
      const orderingOptions = { serverId, ...spec.orderingOptions };
      const baseUrl = addStandIn(
        serverId,
        region.name,
        'ordering',
        'ordering',
        SERVER_PORT,
        orderingOptions,
      );
      hosts.push({ serverId, kind: 'service', baseUrl, serviceName: 'orders', ...common });
    }
  });
  const hostListUrl = addStandIn('hostlist', home, 'platform', 'hostList', PLATFORM_PORT, {
    hosts,
    lagMs: spec.hostListLagMs ?? 0,
  });

  const entryHosts = spec.regions.flatMap((region) =>
    Array.from({ length: region.entryHosts }, (_, index) => ({
      name: `${region.name}-${index + 1}`,
      region: region.name,
      address: nextAddress(),
    })),
  );
  const seedPeers = entryHosts.map(({ address }) => `http://${address}:${PEER_PORT}`);
  await Promise.all(
    entryHosts.map(async ({ name, region, address }) => {
      const file = path.join(directory, `${name}.jsonc`);
      const settings = {
        host: { hostId: name, region, availabilityZone: `${region}-a` },
        callerListener: { address, port: CALLER_PORT },
        peerListener: { address, port: PEER_PORT },
        keyValueService: { url: storeUrl },
        hostList: { url: hostListUrl },
        clientDirectory: { url: directoryUrl },
        weightStore: { url: weightStoreUrl },
        seedPeers,
        secrets: {
          peerKey: PEER_KEY,
          recordKey: 'demo-record-key-0123456789',
          operatorKeys: { operator: OPERATOR_KEY },
        },
        ...(spec.drain === undefined ? {} : { drain: spec.drain }),
      };
      await writeFile(file, JSON.stringify(settings, undefined, 2));
      planned.push({
        name,
        region,
        kind: 'entryHost',
        url: `http://${address}:${CALLER_PORT}`,
        program: daemon,
        args: ['serve', '--config', file],
      });
    }),
  );
  return { processes: planned, storeUrl };
}

async function isReady(planned: Planned): Promise<boolean> {
  const route = planned.kind === 'entryHost' ? '/healthz' : '/';
  const { statusCode, body } = await request(`${planned.url}${route}`);
  await body.dump();
  return planned.kind !== 'entryHost' || statusCode === 200;
}

/** Starts all processes of a deployment and waits until they answer. */
export async function startDeployment(
  spec: DeploymentSpec,
  options: LaunchOptions = {},
): Promise<Deployment> {
  const directory = await mkdtemp(path.join(tmpdir(), 'camphorbarrow-'));
  const plan = await planDeployment(spec, directory, options);
  const processes = new Map<string, DeployedProcess>();

  function start(planned: Planned): void {
    const { name, region, kind, url, program, args } = planned;
    processes.set(name, {
      name,
      region,
      kind,
      url,
      process: startProcess({ name, program, args }),
    });
  }

  function waitReady(planned: Planned): Promise<void> {
    return waitUntil(`${planned.name} is ready`, START_TIMEOUT_MS, () => isReady(planned));
  }

  async function close(): Promise<void> {
    await Promise.all([...processes.values()].map((deployed) => deployed.process.close()));
    await rm(directory, { recursive: true, force: true });
  }

  try {
    const standIns = plan.processes.filter(({ kind }) => kind !== 'entryHost');
    standIns.forEach(start);
    await Promise.all(standIns.map(waitReady));
    await seedConfiguration(plan.storeUrl, spec);
    const entryHosts = plan.processes.filter(({ kind }) => kind === 'entryHost');
    entryHosts.forEach(start);
    await Promise.all(entryHosts.map(waitReady));
  } catch (error) {
    await close();
    throw error;
  }

  return {
    processes,
    customerKey: CUSTOMER_KEY,
    operatorKey: OPERATOR_KEY,
    peerUrlOf(name) {
      const url = new URL(processes.get(name)?.url ?? '');
      url.port = String(PEER_PORT);
      return url.origin;
    },
    homedCustomerKeys: new Map(spec.regions.map(({ name }) => [name, homedKeyOf(name)])),
    async restart(name) {
      const planned = plan.processes.find((candidate) => candidate.name === name);
      if (planned !== undefined) {
        await processes.get(name)?.process.close();
        start(planned);
        await waitReady(planned);
      }
    },
    close,
  };
}

import path from 'node:path';
import type { RelayRoute, RelaySource } from '@camphorbarrow/standins';
import type { DeployedProcess } from './Deployment.js';
import type { DeploymentSpec, RegionSpec } from './DeploymentSpec.js';
import { createAddressAllocator } from './createAddressAllocator.js';
import type { ListenerRole, SocketAddress } from './createAddressAllocator.js';

export interface LaunchOptions {
  /**
   * File of the daemon's bundle or binary.
   * @default the environment variable CAMPHORBARROW_DAEMON, else 'dist/camphorbarrow.cjs'
   */
  readonly daemon?: string;
  /** File of the stand-ins' bundle. @default 'dist/standin.cjs' */
  readonly standIn?: string;
  /** Called for every line that a process writes to standard output. */
  readonly onLine?: (processName: string, pid: number, line: string) => void;
}

export interface PlannedProcess {
  readonly name: string;
  readonly region: string;
  readonly kind: DeployedProcess['kind'];
  readonly announced: SocketAddress;
  readonly bound: SocketAddress;
  readonly program: string;
  readonly args: readonly string[];
  /** Listener for peers and operators; only entry hosts have one. */
  readonly peer?: SocketAddress;
}

export interface DeploymentPlan {
  readonly relay: PlannedProcess | undefined;
  readonly standIns: readonly PlannedProcess[];
  readonly entryHosts: readonly PlannedProcess[];
  /** Settings of the entry hosts, by the path of their file. */
  readonly settingsFiles: ReadonlyMap<string, object>;
  readonly callerAddresses: ReadonlyMap<string, string>;
}

export const OPERATOR_KEYS = {
  ana: 'demo-operator-ana-0001',
  rui: 'demo-operator-rui-0001',
} as const;

const PEER_KEY = 'demo-peer-key-0123456789';
const RECORD_KEY = 'demo-record-key-0123456789';

export const urlOf = ({ address, port }: SocketAddress): string => `http://${address}:${port}`;

/** File to which a backend server stand-in writes its records. */
export const recordFileOf = (directory: string, name: string): string =>
  path.join(directory, `${name}.jsonl`);

function numbersTo(length: number): number[] {
  return Array.from({ length }, (_, index) => index + 1);
}

/** Plans the addresses and settings of all processes. */
export function planDeployment(
  spec: DeploymentSpec,
  directory: string,
  options: LaunchOptions,
): DeploymentPlan {
  const addresses = createAddressAllocator();
  const standInProgram = options.standIn ?? 'dist/standin.cjs';
  const standIns: PlannedProcess[] = [];
  const listedServers: object[] = [];
  const sources: RelaySource[] = [];
  const routes: RelayRoute[] = [];

  function planListener(
    name: string,
    region: string,
    address: string,
    role: ListenerRole,
  ): { bound: SocketAddress; announced: SocketAddress } {
    const bound = { address, port: addresses.port(role) };
    if (spec.network === undefined) {
      return { bound, announced: bound };
    }
    const announced = { ...bound, address: addresses.announcedAddressOf(address) };
    routes.push({ name, region, bound, announced });
    return { bound, announced };
  }

  function addStandIn(
    name: string,
    region: string,
    kind: DeployedProcess['kind'],
    standInKind: string,
    standInOptions: object,
  ): string {
    const role = kind === 'platform' ? 'platform' : 'server';
    const { bound, announced } = planListener(name, region, addresses.nextProcessAddress(), role);
    const args = [JSON.stringify({ kind: standInKind, ...bound, options: standInOptions })];
    standIns.push({ name, region, kind, bound, announced, program: standInProgram, args });
    return urlOf(announced);
  }

  function addServers(region: RegionSpec): void {
    const { name } = region;
    const { models } = spec;
    const common = { region: name, availabilityZone: `${name}-a`, state: 'live' };
    numbersTo(region.engines).forEach((index) => {
      const serverId = `${name}-engine-${index}`;
      const recordFile = recordFileOf(directory, serverId);
      const engineOptions = { serverId, models, recordFile, ...spec.engineOptions };
      const baseUrl = addStandIn(serverId, name, 'engine', 'engine', engineOptions);
      listedServers.push({ serverId, kind: 'engine', baseUrl, models, ...common });
    });
    numbersTo(region.orderingServers).forEach((index) => {
      const serverId = `${name}-orders-${index}`;
      const recordFile = recordFileOf(directory, serverId);
      const orderingOptions = { serverId, recordFile, ...spec.orderingOptions };
      const baseUrl = addStandIn(serverId, name, 'ordering', 'ordering', orderingOptions);
      listedServers.push({ serverId, kind: 'service', baseUrl, serviceName: 'orders', ...common });
    });
  }

  const platformRegion = spec.regions[0]?.name ?? '';
  const store = addStandIn('store', platformRegion, 'platform', 'keyValue', {});
  const clientDirectory = addStandIn(
    'directory',
    platformRegion,
    'platform',
    'clientDirectory',
    {},
  );
  const weightStore = addStandIn('weights', platformRegion, 'platform', 'weightStore', {});
  spec.regions.forEach(addServers);
  const hostListOptions = { hosts: listedServers, lagMs: spec.hostListLagMs ?? 0 };
  const hostList = addStandIn('hostlist', platformRegion, 'platform', 'hostList', hostListOptions);

  const hostPlans = spec.regions.flatMap(({ name: region, entryHosts }) =>
    numbersTo(entryHosts).map((index) => {
      const name = `${region}-${index}`;
      const address = addresses.nextProcessAddress();
      sources.push({ address, name, region });
      return {
        name,
        region,
        address,
        caller: planListener(name, region, address, 'caller'),
        peer: planListener(name, region, address, 'peer'),
      };
    }),
  );
  const seedPeers = hostPlans.map(({ peer }) => urlOf(peer.announced));
  const settingsFiles = new Map<string, object>();
  const entryHosts = hostPlans.map(({ name, region, address, caller, peer }): PlannedProcess => {
    const file = path.join(directory, `${name}.jsonc`);
    settingsFiles.set(file, {
      host: { hostId: name, region, availabilityZone: `${region}-a` },
      outgoingAddress: address,
      callerListener: { ...caller.bound, announce: caller.announced },
      peerListener: { ...peer.bound, announce: peer.announced },
      keyValueService: { url: store },
      hostList: { url: hostList },
      clientDirectory: { url: clientDirectory },
      weightStore: { url: weightStore },
      seedPeers,
      secrets: { peerKey: PEER_KEY, recordKey: RECORD_KEY, operatorKeys: OPERATOR_KEYS },
      ...(spec.drain === undefined ? {} : { drain: spec.drain }),
    });
    const program = options.daemon ?? process.env.CAMPHORBARROW_DAEMON ?? 'dist/camphorbarrow.cjs';
    const args = ['serve', '--config', file];
    return { name, region, kind: 'entryHost', ...caller, peer: peer.bound, program, args };
  });

  const callerAddresses = new Map(
    spec.regions.map(({ name }) => [name, addresses.nextCallerAddress()]),
  );
  callerAddresses.forEach((address, region) => {
    sources.push({ address, name: `caller-${region}`, region });
  });
  function planRelay(network: { readonly regionDelayMs?: number | undefined }): PlannedProcess {
    const bound = { address: addresses.nextProcessAddress(), port: addresses.port('platform') };
    const relayOptions = { sources, routes, regionDelayMs: network.regionDelayMs ?? 0 };
    const args = [JSON.stringify({ kind: 'relay', ...bound, options: relayOptions })];
    const announced = bound;
    const program = standInProgram;
    return {
      name: 'relay',
      region: platformRegion,
      kind: 'relay',
      bound,
      announced,
      program,
      args,
    };
  }

  return {
    relay: spec.network === undefined ? undefined : planRelay(spec.network),
    standIns,
    entryHosts,
    settingsFiles,
    callerAddresses,
  };
}

import {
  buildConfiguration,
  loopbackAddress,
  startFakeStore,
  testRoutes,
} from '@camphorbarrow/platform/testing';
import type { FakeStore } from '@camphorbarrow/platform/testing';
import { CUSTOMER_PATH } from './checkCustomers.js';
import { startBlackHole } from './startBlackHole.js';
import { createFaultyLink } from './createFaultyLink.js';
import type { FaultyLink } from './createFaultyLink.js';
import type { IdleTimeoutChange } from './IdleTimeoutChange.js';
import { startHostProcess } from './startHostProcess.js';
import type { HostProcess } from './startHostProcess.js';
import { soakCustomers } from './soakCustomers.js';
import { startServerFleet } from './startServerFleet.js';
import type { ServerFleet } from './startServerFleet.js';
import { startVersionedServers } from './startVersionedServers.js';
import type { VersionedServers } from './startVersionedServers.js';
import { versionedServices } from './versionedService.js';

/** Region of each host. There is one server per host, in the same region. */
const REGIONS = ['north', 'north', 'south'] as const;
const BOUND_ROUTE = {
  ...testRoutes.safe,
  name: 'bound',
  path_prefix: '/bound/',
  home_regions: ['south'],
};

const VERSIONED_ROUTES = versionedServices.map(({ name, pathPrefix }) => ({
  ...testRoutes.resumable,
  name,
  path_prefix: pathPrefix,
  service: name,
}));

const CUSTOMER_ROUTE = { ...testRoutes.safe, name: 'customer', path_prefix: CUSTOMER_PATH };

/** Time limits for callers; the idle timeout holds until the first change of it. */
const FIRST_IDLE_TIMEOUT_MS = 3_000;
export const HEADER_TIMEOUT_MS = 1_500;

export interface ConfigurationChanges {
  /** Names of routes that are added to this configuration only. */
  readonly routeNames?: readonly string[];
  /** Idle timeout of this and later configurations. */
  readonly idleTimeoutMs?: number;
}

export interface SoakSystemOptions {
  /** Path of the Node.js program that runs the hosts. */
  readonly nodePath: string;
  /** Built program of the hosts. */
  readonly program: string;
  readonly onUnexpectedExit: (detail: string) => void;
}

/** The system under test. Hosts are real processes; the store and the servers are fakes. */
export interface SoakSystem {
  readonly store: FakeStore;
  readonly servers: ServerFleet;
  readonly versionedServers: VersionedServers;
  readonly hosts: readonly HostProcess[];
  /** Link between each host and the store. */
  readonly storeLinks: readonly FaultyLink[];
  /** Writes the next configuration and returns its version. */
  putConfiguration(changes?: ConfigurationChanges): number;
  /** All idle timeouts that were written, in order. */
  idleTimeouts(): readonly IdleTimeoutChange[];
  /** Writes the latest configuration once more, as after a restore of the store. */
  rewriteConfiguration(): void;
  close(): Promise<void>;
}

/**
 * The test routes, a route bound to one region, those to servers of several versions, one that needs a
 * key, and added routes.
 */
function buildSoakConfiguration(
  version: number,
  { routeNames = [], idleTimeoutMs }: ConfigurationChanges,
): unknown {
  const configuration = buildConfiguration(version) as {
    routes: object[];
    services: object[];
    limits: object;
  };
  const [first] = configuration.routes;
  const added = routeNames.map((name) => ({
    ...first,
    ...testRoutes.safe,
    name,
    path_prefix: `/${name}/`,
  }));
  return {
    ...configuration,
    routes: [
      ...[
        ...configuration.routes,
        { ...first, ...BOUND_ROUTE },
        ...VERSIONED_ROUTES.map((route) => ({ ...first, ...route })),
        ...added,
      ].map((route) => ({
        ...route,
        anonymous: true,
      })),
      { ...first, ...CUSTOMER_ROUTE },
    ],
    services: [
      ...configuration.services,
      ...configuration.services.flatMap((service) =>
        versionedServices.map(({ name }) => ({ ...service, name })),
      ),
    ],
    tenants: soakCustomers,
    limits: {
      ...configuration.limits,
      header_timeout_ms: HEADER_TIMEOUT_MS,
      idle_timeout_ms: idleTimeoutMs,
    },
  };
}

/** Starts the store, servers and hosts. Does not wait until the hosts serve requests. */
export async function startSoakSystem({
  nodePath,
  program,
  onUnexpectedExit,
}: SoakSystemOptions): Promise<SoakSystem> {
  let version = 0;
  const store = await startFakeStore();

  let configuration: unknown;

  function rewriteConfiguration(): void {
    store.put('op/config', configuration);
  }

  const idleTimeouts: IdleTimeoutChange[] = [];

  function putConfiguration(changes: ConfigurationChanges = {}): number {
    version += 1;
    const idleTimeoutMs =
      changes.idleTimeoutMs ?? idleTimeouts.at(-1)?.idleTimeoutMs ?? FIRST_IDLE_TIMEOUT_MS;
    idleTimeouts.push({ atMs: performance.now(), idleTimeoutMs });
    configuration = buildSoakConfiguration(version, { ...changes, idleTimeoutMs });
    rewriteConfiguration();
    return version;
  }

  putConfiguration();
  const addresses = REGIONS.map((_, index) => loopbackAddress(index));
  const findHost = (address: string): number | undefined => {
    const index = addresses.indexOf(address);
    return index === -1 ? undefined : index;
  };
  const servers = await startServerFleet(
    store,
    REGIONS.map((region) => `${region}-a`),
    findHost,
  );
  const versionedServers = await startVersionedServers(store, findHost);
  const storeLinks = await Promise.all(REGIONS.map(() => createFaultyLink(store.address)));
  const blackHole = await startBlackHole();
  const seeds = addresses.map((address) => `${address}:8144`);
  const hosts = await Promise.all(
    REGIONS.map((region, index) =>
      startHostProcess({
        settings: {
          ip: addresses[index] ?? '',
          store: storeLinks[index]?.address ?? '',
          name: `front-${index + 1}`,
          region,
          seeds,
        },
        nodePath,
        program,
        blackHolePort: blackHole.port,
        onUnexpectedExit,
      }),
    ),
  );
  return {
    store,
    servers,
    versionedServers,
    hosts,
    storeLinks,
    putConfiguration,
    rewriteConfiguration,
    idleTimeouts: () => idleTimeouts,
    async close() {
      await Promise.all(hosts.map((host) => host.close()));
      storeLinks.forEach((link) => link.close());
      servers.close();
      versionedServers.close();
      blackHole.close();
      store.close();
    },
  };
}

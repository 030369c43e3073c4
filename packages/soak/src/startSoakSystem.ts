import {
  buildConfiguration,
  loopbackAddress,
  startFakeStore,
  testRoutes,
} from '@camphorbarrow/platform/testing';
import type { FakeStore } from '@camphorbarrow/platform/testing';
import { createFaultyLink } from './createFaultyLink.js';
import type { FaultyLink } from './createFaultyLink.js';
import { startHostProcess } from './startHostProcess.js';
import type { HostProcess } from './startHostProcess.js';
import { startServerFleet } from './startServerFleet.js';
import type { ServerFleet } from './startServerFleet.js';

/** Region of each host. There is one server per host, in the same region. */
const REGIONS = ['north', 'north', 'south'] as const;
const BOUND_ROUTE = {
  ...testRoutes.safe,
  name: 'bound',
  path_prefix: '/bound/',
  home_regions: ['south'],
};

/** The system under test. Hosts are real processes; the store and the servers are fakes. */
export interface SoakSystem {
  readonly store: FakeStore;
  readonly servers: ServerFleet;
  readonly hosts: readonly HostProcess[];
  /** Link between each host and the store. */
  readonly storeLinks: readonly FaultyLink[];
  /** Writes the next configuration, with an added route if a name is given; returns its version. */
  putConfiguration(routeName?: string): number;
  /** Writes the latest configuration once more, as after a restore of the store. */
  rewriteConfiguration(): void;
  close(): Promise<void>;
}

/** The test routes, a route bound to one region and, if a name is given, an added route. */
function buildSoakConfiguration(version: number, routeName?: string): unknown {
  const configuration = buildConfiguration(version) as { routes: object[] };
  const [first] = configuration.routes;
  const added =
    routeName === undefined
      ? []
      : [{ ...first, ...testRoutes.safe, name: routeName, path_prefix: `/${routeName}/` }];
  return {
    ...configuration,
    routes: [...configuration.routes, { ...first, ...BOUND_ROUTE }, ...added],
  };
}

/** Starts the store, servers and hosts. Does not wait until the hosts serve requests. */
export async function startSoakSystem(
  onUnexpectedExit: (detail: string) => void,
): Promise<SoakSystem> {
  let version = 0;
  const store = await startFakeStore();

  let configuration: unknown;

  function rewriteConfiguration(): void {
    store.put('op/config', configuration);
  }

  function putConfiguration(routeName?: string): number {
    version += 1;
    configuration = buildSoakConfiguration(version, routeName);
    rewriteConfiguration();
    return version;
  }

  putConfiguration();
  const servers = await startServerFleet(
    store,
    REGIONS.map((region) => `${region}-a`),
  );
  const storeLinks = await Promise.all(REGIONS.map(() => createFaultyLink(store.address)));
  const addresses = REGIONS.map((_, index) => loopbackAddress(index));
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
        onUnexpectedExit,
      }),
    ),
  );
  return {
    store,
    servers,
    hosts,
    storeLinks,
    putConfiguration,
    rewriteConfiguration,
    async close() {
      await Promise.all(hosts.map((host) => host.close()));
      storeLinks.forEach((link) => link.close());
      servers.close();
      store.close();
    },
  };
}

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

/** Regions of the hosts; there is one server for each as well. */
const REGIONS = ['north', 'north', 'south'] as const;
const SOUTH_ROUTE = {
  ...testRoutes.safe,
  name: 'bound',
  path_prefix: '/bound/',
  home_regions: ['south'],
};

/** What a run consists of. Hosts are processes; the store and the servers are stand-ins. */
export interface SoakSystem {
  readonly store: FakeStore;
  readonly servers: ServerFleet;
  readonly hosts: readonly HostProcess[];
  /** Way of each host to the store. */
  readonly storeLinks: readonly FaultyLink[];
  /** Writes the next configuration, with one more route when it is named. Returns its version. */
  putConfiguration(routeName?: string): number;
  close(): Promise<void>;
}

/** The routes of the stand-ins, one that is bound to a region, and one more when it is named. */
function buildSoakConfiguration(version: number, routeName?: string): unknown {
  const configuration = buildConfiguration(version) as { routes: object[] };
  const [first] = configuration.routes;
  const added =
    routeName === undefined
      ? []
      : [{ ...first, ...testRoutes.safe, name: routeName, path_prefix: `/${routeName}/` }];
  return {
    ...configuration,
    routes: [...configuration.routes, { ...first, ...SOUTH_ROUTE }, ...added],
  };
}

/** Starts store, servers and hosts; hosts may not serve yet. */
export async function startSoakSystem(
  onUnexpectedExit: (detail: string) => void,
): Promise<SoakSystem> {
  let version = 0;
  const store = await startFakeStore();

  function putConfiguration(routeName?: string): number {
    version += 1;
    store.put('op/config', buildSoakConfiguration(version, routeName));
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
    async close() {
      await Promise.all(hosts.map((host) => host.close()));
      storeLinks.forEach((link) => link.close());
      servers.close();
      store.close();
    },
  };
}

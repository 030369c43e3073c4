import {
  asId,
  createConfigManager,
  createPeerBackedHostList,
  createPeerTable,
  createServerRegistry,
} from '@camphorbarrow/core';
import type {
  AvailabilityZoneId,
  ConfigManager,
  HostListEntry,
  LoadReport,
  PeerDescription,
  PeerTable,
  ServerRegistry,
} from '@camphorbarrow/core';
import type { HostContext } from './HostContext.js';
import { announcedUrl } from './announcedUrl.js';
import { createEntryHostRanking } from './createEntryHostRanking.js';
import type { EntryHostRanking } from './createEntryHostRanking.js';
import { createRegionRouting } from './createRegionRouting.js';
import type { RegionRouting } from './createRegionRouting.js';
import { createRegionSpill } from './createRegionSpill.js';
import type { RegionSpill } from './createRegionSpill.js';

/** Components that hold what an entry host knows of the fleet and of its region. */
export interface RegionComponents {
  readonly config: ConfigManager;
  readonly registry: ServerRegistry;
  readonly routing: RegionRouting;
  readonly spill: RegionSpill;
  readonly peers: PeerTable;
  readonly ranking: EntryHostRanking;
  readonly describeSelf: () => Omit<PeerDescription, 'sequence'>;
  readonly readLoad: (entry: HostListEntry) => Promise<LoadReport>;
  /** Calls all live peers of the region concurrently; returns the responses that arrive. */
  readonly callRegionPeers: <Result>(
    call: (peerUrl: string) => Promise<Result>,
  ) => Promise<readonly Result[]>;
  /** Number of live entry hosts of the region, always including this one. */
  readonly entryHostCount: () => number;
  start(): void;
  close(): Promise<void>;
}

const LOAD_TIMEOUT_MS = 1_000;

/** Creates the configuration, membership, server registry and routing of one entry host. */
export function createRegionComponents(context: HostContext): RegionComponents {
  const { settings, hostId, regionId, incarnation, startedAtMs, clock, random, drain } = context;
  const { ports } = context;
  const { log, store, engineClient, peerClient } = ports;

  const config = createConfigManager({
    clock,
    random,
    log,
    store,
    peerClient,
    seedPeerUrls: settings.seedPeers,
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- mutual reference
    listPeers: () => peers.peers(),
  });

  const describeSelf = (): Omit<PeerDescription, 'sequence'> => ({
    hostId,
    incarnation,
    startedAtMs,
    regionId,
    availabilityZoneId: asId<AvailabilityZoneId>(settings.host.availabilityZone),
    callerUrl: announcedUrl(settings.callerListener),
    peerUrl: announcedUrl(settings.peerListener),
    state: drain.state(),
    configVersion: config.version(),
    configChangeId: config.revision().changeId,
  });

  const readLoad = (entry: HostListEntry): Promise<LoadReport> =>
    engineClient.readLoad(entry.baseUrl, LOAD_TIMEOUT_MS);
  const hostList = createPeerBackedHostList({
    log,
    platformList: ports.hostList,
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- peers need the registry
    fetchFromPeers: () => callRegionPeers((peerUrl) => peerClient.fetchServers(peerUrl)),
  });
  const registry = createServerRegistry({
    clock,
    log,
    hostList,
    isUsed: (entry) => entry.regionId === regionId,
    readLoad,
  });
  const routing = createRegionRouting({ clock, log, registry, engineClient });
  const spill = createRegionSpill({
    clock,
    regionId,
    registry,
    routing,
    configVersion: config.version,
  });
  const peers = createPeerTable({
    clock,
    random,
    log,
    store,
    peerClient,
    self: describeSelf,
    regionLoad: spill.summary,
    onRoundTrip: spill.recordRoundTrip,
    seedPeerUrls: settings.seedPeers,
    onPeerUpdate: (peer) => {
      void config.fetchIfNewer(peer);
    },
  });
  spill.setPeerTable(peers);
  const ranking = createEntryHostRanking({ self: describeSelf, peers });

  /** Calls all live peers of the region concurrently; returns the responses that arrive. */
  async function callRegionPeers<Result>(
    call: (peerUrl: string) => Promise<Result>,
  ): Promise<readonly Result[]> {
    const livePeers = peers.livePeers(regionId);
    const results = await Promise.allSettled(livePeers.map((peer) => call(peer.peerUrl)));
    return results.flatMap((result) => (result.status === 'fulfilled' ? [result.value] : []));
  }

  return {
    config,
    registry,
    routing,
    spill,
    peers,
    ranking,
    describeSelf,
    readLoad,
    callRegionPeers,
    entryHostCount: () => peers.livePeers(regionId).length + 1,
    start() {
      config.start();
      peers.start();
      registry.start();
      routing.start();
    },
    async close() {
      await peers.close();
      await Promise.all([registry.close(), routing.close(), config.close()]);
    },
  };
}

import type { HostList, HostListEntry } from '../ports/HostList.js';
import type { LogSink } from '../ports/LogSink.js';

export interface PeerBackedHostListOptions {
  readonly log: LogSink;
  /** The platform's own host list. */
  readonly platformList: HostList;
  /** Fetches the lists held by the reachable entry hosts of the region, in no particular order. */
  readonly fetchFromPeers: () => Promise<readonly (readonly HostListEntry[])[]>;
}

/**
 * Creates a host list that falls back to the peers, for entry hosts that start while the platform's
 * list is unavailable. Until this host has read the platform's list once, a failed read returns the
 * entries that its peers hold. These may be out of date; direct load polls decide whether a server
 * accepts work. After the first successful read, failures are passed on, because the caller keeps
 * the entries it has.
 */
export function createPeerBackedHostList(options: PeerBackedHostListOptions): HostList {
  const { platformList, fetchFromPeers, log } = options;
  let hasReadPlatformList = false;

  async function readFromPeers(): Promise<readonly HostListEntry[]> {
    const lists = await fetchFromPeers();
    const entries = new Map(lists.flat().map((entry) => [entry.serverId, entry]));
    log.info('host-list-from-peers', { peers: lists.length, servers: entries.size });
    return [...entries.values()];
  }

  return {
    async read() {
      try {
        const entries = await platformList.read();
        hasReadPlatformList = true;
        return entries;
      } catch (cause) {
        if (hasReadPlatformList) {
          throw cause;
        }
        const entries = await readFromPeers();
        if (entries.length === 0) {
          throw cause;
        }
        return entries;
      }
    },
    close: () => platformList.close(),
  };
}

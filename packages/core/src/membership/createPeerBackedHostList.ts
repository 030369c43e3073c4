import type { HostList, HostListEntry } from '../ports/HostList.js';
import type { LogSink } from '../ports/LogSink.js';

export interface PeerBackedHostListOptions {
  readonly log: LogSink;
  readonly platformList: HostList;
  /** Lists that reachable entry hosts of the region hold, in no particular order. */
  readonly fetchFromPeers: () => Promise<readonly (readonly HostListEntry[])[]>;
}

/**
 * Creates a host list for entry hosts that start while the platform's list is unavailable. As long
 * as this host has never read the platform's list, it takes the entries its peers hold. Entries
 * may be old; direct load polls decide whether a server takes work. A host that has read the list
 * once keeps its own copy, and the failure is passed on.
 */
export function createPeerBackedHostList(options: PeerBackedHostListOptions): HostList {
  const { platformList: platform, fetchFromPeers: askPeers, log } = options;
  let everRead = false;

  async function readFromPeers(): Promise<readonly HostListEntry[]> {
    const lists = await askPeers();
    const entries = new Map(lists.flat().map((entry) => [entry.serverId, entry]));
    log.info('host-list-from-peers', { peers: lists.length, servers: entries.size });
    return [...entries.values()];
  }

  return {
    async read() {
      try {
        const entries = await platform.read();
        everRead = true;
        return entries;
      } catch (cause) {
        if (everRead) {
          throw cause;
        }
        const entries = await readFromPeers();
        if (entries.length === 0) {
          throw cause;
        }
        return entries;
      }
    },
    close: () => platform.close(),
  };
}

import type { HostId } from '../ids/HostId.js';
import type { PeerDescription } from '../membership/PeerDescription.js';
import type { PeerView } from '../membership/PeerView.js';
import type { LogSink } from '../ports/LogSink.js';
import type { PeerClient } from '../ports/PeerClient.js';
import type { ConfigRevision } from './ConfigRevision.js';
import type { StoredFleetDocument } from './FleetDocument.js';
import { compareRevisions } from './compareRevisions.js';
import type { ConfigState } from './createConfigState.js';

export interface ConfigExchangeOptions {
  readonly log: LogSink;
  readonly state: ConfigState;
  readonly peerClient: Pick<PeerClient, 'fetchConfig' | 'pushConfig'>;
  readonly listPeers: () => readonly PeerView[];
  /** Peer URLs asked while no peer is known. */
  readonly seedPeerUrls: readonly string[];
}

export interface ConfigExchange {
  /** Fetches a peer's configuration when its heartbeat names a newer one. */
  fetchIfNewer(peer: PeerDescription): Promise<void>;
  /** Fetches the newest configuration that the reachable peers, or else the seeds, have. */
  refresh(): Promise<void>;
  /** Hands a document to all reachable peers. */
  broadcast(document: StoredFleetDocument): Promise<BroadcastResult>;
}

export interface BroadcastResult {
  readonly told: readonly HostId[];
  readonly notReached: readonly HostId[];
}

const MAX_CONCURRENT_PUSHES = 128;
/** Fetches caused by heartbeats at one time; more would only bring the same document again. */
const MAX_CONCURRENT_FETCHES = 3;

function revisionOf(peer: PeerDescription): ConfigRevision {
  return { version: peer.configVersion, changeId: peer.configChangeId };
}

/** Creates the exchange of configurations with other entry hosts. */
export function createConfigExchange(options: ConfigExchangeOptions): ConfigExchange {
  const { log, state, peerClient } = options;
  const fetching = new Set<string>();

  const hasNewer = (peer: PeerDescription): boolean =>
    compareRevisions(revisionOf(peer), state.document()) > 0;

  async function fetchFrom(peerUrl: string): Promise<void> {
    if (fetching.has(peerUrl)) {
      return;
    }
    fetching.add(peerUrl);
    try {
      const document = await peerClient.fetchConfig(peerUrl);
      if (document !== undefined) {
        state.adopt(document);
      }
    } catch (cause) {
      log.warn('configuration-fetch-failed', { peerUrl, error: String(cause) });
    } finally {
      fetching.delete(peerUrl);
    }
  }

  async function push(peer: PeerView, document: StoredFleetDocument): Promise<boolean> {
    if (compareRevisions(revisionOf(peer), document) >= 0) {
      return true;
    }
    try {
      return compareRevisions(await peerClient.pushConfig(peer.peerUrl, document), document) >= 0;
    } catch (cause) {
      log.warn('configuration-push-failed', { peer: peer.hostId, error: String(cause) });
      return false;
    }
  }

  return {
    async fetchIfNewer(peer) {
      if (hasNewer(peer) && fetching.size < MAX_CONCURRENT_FETCHES) {
        await fetchFrom(peer.peerUrl);
      }
    },
    async refresh() {
      const peers = options.listPeers().filter((peer) => peer.reachable);
      const newest = peers
        .filter(hasNewer)
        .sort((a, b) => compareRevisions(revisionOf(b), revisionOf(a)))
        .slice(0, MAX_CONCURRENT_FETCHES)
        .map((peer) => peer.peerUrl);
      const isAlone = peers.length === 0 && state.document() === undefined;
      const urls = isAlone ? options.seedPeerUrls : newest;
      await Promise.all(urls.map(fetchFrom));
    },
    async broadcast(document) {
      // A host that announced its end and fell silent has stopped and needs no configuration.
      const peers = options.listPeers().filter((peer) => peer.reachable || peer.state === 'live');
      const waiting = peers.filter((peer) => peer.reachable);
      const told = new Set<HostId>();
      async function pushWaiting(): Promise<void> {
        for (let peer = waiting.pop(); peer !== undefined; peer = waiting.pop()) {
          if (await push(peer, document)) {
            told.add(peer.hostId);
          }
        }
      }
      await Promise.all(Array.from({ length: MAX_CONCURRENT_PUSHES }, pushWaiting));
      const notReached = peers.map((peer) => peer.hostId).filter((id) => !told.has(id));
      return { told: [...told].sort(), notReached: notReached.sort() };
    },
  };
}

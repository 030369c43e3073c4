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
  /** Peer URLs to fetch a configuration from while there is none and no peer is reachable. */
  readonly seedPeerUrls: readonly string[];
}

export interface ConfigExchange {
  /** Fetches a peer's configuration when the peer's heartbeat announces a newer one. */
  fetchIfNewer(peer: PeerDescription): Promise<void>;
  /**
   * Fetches the newest configuration of the reachable peers. Without reachable peers and without a
   * configuration, fetches it from the seed peers.
   */
  refresh(): Promise<void>;
  /** Pushes a document to all reachable peers. */
  broadcast(document: StoredFleetDocument): Promise<BroadcastResult>;
}

export interface BroadcastResult {
  /** Peers that confirmed the document or a newer one. */
  readonly told: readonly HostId[];
  /** Known peers that did not confirm. */
  readonly notReached: readonly HostId[];
}

const MAX_CONCURRENT_PUSHES = 128;
/** Limit of concurrent fetches; more of them would mostly return the same document again. */
const MAX_CONCURRENT_FETCHES = 3;

function revisionOf(peer: PeerDescription): ConfigRevision {
  return { version: peer.configVersion, changeId: peer.configChangeId };
}

/** Creates the exchange of the configuration document with other entry hosts. */
export function createConfigExchange(options: ConfigExchangeOptions): ConfigExchange {
  const { log, state, peerClient } = options;
  const urlsBeingFetched = new Set<string>();

  const hasNewerConfig = (peer: PeerDescription): boolean =>
    compareRevisions(revisionOf(peer), state.document()) > 0;

  async function fetchFrom(peerUrl: string): Promise<void> {
    if (urlsBeingFetched.has(peerUrl)) {
      return;
    }
    urlsBeingFetched.add(peerUrl);
    try {
      const document = await peerClient.fetchConfig(peerUrl);
      if (document !== undefined) {
        state.adopt(document);
      }
    } catch (cause) {
      log.warn('configuration-fetch-failed', { peerUrl, error: String(cause) });
    } finally {
      urlsBeingFetched.delete(peerUrl);
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
      if (hasNewerConfig(peer) && urlsBeingFetched.size < MAX_CONCURRENT_FETCHES) {
        await fetchFrom(peer.peerUrl);
      }
    },
    async refresh() {
      const peers = options.listPeers().filter((peer) => peer.reachable);
      const newest = peers
        .filter(hasNewerConfig)
        .sort((a, b) => compareRevisions(revisionOf(b), revisionOf(a)))
        .slice(0, MAX_CONCURRENT_FETCHES)
        .map((peer) => peer.peerUrl);
      const needsSeeds = peers.length === 0 && state.document() === undefined;
      const urls = needsSeeds ? options.seedPeerUrls : newest;
      await Promise.all(urls.map(fetchFrom));
    },
    async broadcast(document) {
      // An unreachable host that announced that it is draining has stopped and needs no
      // configuration.
      const peers = options.listPeers().filter((peer) => peer.reachable || peer.state === 'live');
      const pending = peers.filter((peer) => peer.reachable);
      const confirmed = new Set<HostId>();
      async function pushPending(): Promise<void> {
        for (let peer = pending.pop(); peer !== undefined; peer = pending.pop()) {
          if (await push(peer, document)) {
            confirmed.add(peer.hostId);
          }
        }
      }
      await Promise.all(Array.from({ length: MAX_CONCURRENT_PUSHES }, pushPending));
      const notReached = peers.map((peer) => peer.hostId).filter((id) => !confirmed.has(id));
      return { told: [...confirmed].sort(), notReached: notReached.sort() };
    },
  };
}

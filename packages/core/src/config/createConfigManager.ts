import { NoConfigurationError } from '../errors/NoConfigurationError.js';
import type { PeerDescription } from '../membership/PeerDescription.js';
import type { PeerView } from '../membership/PeerView.js';
import type { Clock } from '../ports/Clock.js';
import type { KeyValueStore } from '../ports/KeyValueStore.js';
import type { LogSink } from '../ports/LogSink.js';
import type { PeerClient } from '../ports/PeerClient.js';
import type { RandomSource } from '../ports/RandomSource.js';
import type { ConfigRevision } from './ConfigRevision.js';
import type { FleetDocument, StoredFleetDocument } from './FleetDocument.js';
import { createChangeProposer } from './createChangeProposer.js';
import type { ChangeProposer } from './createChangeProposer.js';
import { createConfigExchange } from './createConfigExchange.js';
import { createConfigState } from './createConfigState.js';
import { createConfigStoreSync } from './createConfigStoreSync.js';

export interface ConfigManagerOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: LogSink;
  readonly store: KeyValueStore;
  readonly peerClient: Pick<PeerClient, 'fetchConfig' | 'pushConfig'>;
  /** Peer URLs to fetch a configuration from while there is none and no peer is reachable. */
  readonly seedPeerUrls: readonly string[];
  /** Peers that changes are pushed to. Not called while the manager is being created. */
  readonly listPeers: () => readonly PeerView[];
}

export interface ConfigManager {
  /** @throws NoConfigurationError when no document has been received yet */
  current(): FleetDocument;
  /** Current document in its stored form; undefined when there is none. */
  document(): StoredFleetDocument | undefined;
  /** Current version; 0 when there is none. */
  version(): number;
  /** Current revision; version 0 and an empty change id when there is none. */
  revision(): ConfigRevision;
  /** Replaces the current document when the given one is newer; returns whether it did. */
  adopt(document: StoredFleetDocument): boolean;
  /** Fetches a peer's configuration when the peer's heartbeat announces a newer one. */
  fetchIfNewer(peer: PeerDescription): Promise<void>;
  readonly propose: ChangeProposer;
  /** Whether the last poll of the store succeeded. */
  storeReachable(): boolean;
  /** Compares the store with the current document once. */
  poll(): Promise<void>;
  /** Starts synchronization with the store in the background. */
  start(): void;
  close(): Promise<void>;
}

/**
 * Creates the manager of the fleet configuration. A document is only replaced by a newer revision.
 */
export function createConfigManager(options: ConfigManagerOptions): ConfigManager {
  const { clock, log, store } = options;
  const state = createConfigState(log);
  const exchange = createConfigExchange({ ...options, state });
  const hostCount = (): number => options.listPeers().length + 1;
  const storeSync = createConfigStoreSync({ ...options, state, hostCount });

  return {
    current() {
      const document = state.current();
      if (document === undefined) {
        throw new NoConfigurationError('This entry host has no fleet configuration yet.');
      }
      return document;
    },
    document: state.document,
    version: () => state.document()?.version ?? 0,
    revision() {
      const { version = 0, changeId = '' } = state.document() ?? {};
      return { version, changeId };
    },
    adopt: state.adopt,
    fetchIfNewer: exchange.fetchIfNewer,
    propose: createChangeProposer({ clock, log, store, state, exchange }),
    storeReachable: storeSync.storeReachable,
    poll: storeSync.poll,
    start: storeSync.start,
    close: storeSync.close,
  };
}
